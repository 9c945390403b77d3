//! Tests of peers that hang, tasks that fail, floods, and many simultaneous starts, on real sockets. A peer
//! is held back to force events to cross; times are measured and printed, and no result depends on a sleep.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use dunlinspread::server::supervisor;
use dunlinspread::server::timer_wheel::{Clock, TimerWheel};
use dunlinspread_fakes::ReservedAddress;
use play::alone::Alone;
use play::{Client, config};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Time limit of each wait.
const TIME_LIMIT: Duration = Duration::from_secs(60);

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Returns the next connection with a complete first report, open and unanswered, and the time of the report.
/// On a machine short of CPU time the server may abandon a report before it was read; the connection then
/// ends, and the next one is used.
fn accept_report(registry: &TcpListener) -> (BufReader<TcpStream>, Instant) {
    loop {
        let (stream, _) = registry.accept().expect("the server connects");
        stream.set_read_timeout(Some(TIME_LIMIT)).expect("setting the timeout");
        let mut reader = BufReader::new(stream);
        if read_report(&mut reader) {
            return (reader, Instant::now());
        }
    }
}

/// Reads a report and returns whether the connection stayed open to the end of the report.
fn read_report(reader: &mut BufReader<TcpStream>) -> bool {
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line).expect("a line") == 0 {
            return false;
        }
    }
    let mut body = [0; r#"{"status":"passing"}"#.len()];
    reader.read_exact(&mut body).is_ok()
}

/// Asserts that a registry that answers no report receives the next one while the previous one is still
/// pending, so that a missing response does not let the registry entry expire.
#[test]
fn reports_go_on_beside_one_that_hangs() {
    let (registry, address) = bind();
    let _server = Alone::new(&config("127.0.0.1:1", &address, "127.0.0.1:1", &[]));
    let (mut first, first_at) = accept_report(&registry);
    let (_second, second_at) = accept_report(&registry);
    first.get_mut().set_nonblocking(true).expect("setting the blocking mode");
    let still = first.get_mut().read(&mut [0]);
    println!("the second report came after {} ms", (second_at - first_at).as_millis());
    let open = matches!(&still, Err(e) if e.kind() == ErrorKind::WouldBlock);
    assert!(open, "the first report was abandoned before the second was made: {still:?}");
}

/// Asserts that a report is made on a new connection before the registry entry can expire, although the old
/// connection answers: a registry that answers 204 and lists no servers may have been replaced.
#[test]
fn reports_move_to_a_new_connection_before_the_entry_expires() {
    let (registry, address) = bind();
    let _server = Alone::new(&config("127.0.0.1:1", &address, "127.0.0.1:1", &[]));
    let (mut first, first_at) = accept_report(&registry);
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let answer = b"HTTP/1.1 204 No Content\r\n\r\n";
        while first.get_mut().write_all(answer).is_ok() {
            let mut line = String::new();
            while first.read_line(&mut line).is_ok_and(|n| n > 0) && !line.ends_with("}") {
                if line.ends_with("\r\n\r\n") {
                    let mut body = [0; 20];
                    if first.read_exact(&mut body).is_err() {
                        return;
                    }
                    break;
                }
            }
            if line.is_empty() {
                return;
            }
            let _ = sender.send(());
        }
    });
    let (_second, second_at) = accept_report(&registry);
    let reused_count = receiver.try_iter().count();
    println!(
        "a new connection after {} ms, {reused_count} further reports on the old one",
        (second_at - first_at).as_millis()
    );
    assert!(reused_count > 0, "the old connection was not used again");
    assert!(second_at - first_at < Duration::from_secs(3), "the entry could expire");
}

/// Asserts that a panic of a supervised task is reported with the task's name and the message, and that its
/// unexpected end is reported with its name.
#[test]
fn task_failures_are_reported_by_name() {
    let (report, failures) = async_channel::unbounded();
    let reported = async_io::block_on(async {
        supervisor::supervise("upstream client", async { panic!("a fault") }, report.clone()).await;
        supervisor::supervise("registry reporter", async {}, report.clone()).await;
        [failures.recv().await.expect("a failure"), failures.recv().await.expect("a failure")]
    });
    assert_eq!(
        reported.map(|failure| failure.to_string()),
        [
            "task failed: upstream client panicked: a fault",
            "task failed: registry reporter ended unexpectedly"
        ]
    );
    // The timer wheel is a supervised task too, and never ends.
    let wheel = TimerWheel::new(Clock::start(), 5.0);
    let advanced = async_io::block_on(futures_lite::future::or(
        async {
            supervisor::supervise("timer wheel", wheel.clone().advance(), report.clone()).await;
            false
        },
        async {
            wheel.sleep(20.0).await;
            true
        },
    ));
    assert!(advanced && failures.is_empty());
}

/// Asserts that each health check of a good client is answered while hundreds of faulty clients connect:
/// silent ones, and ones that send incomplete messages, an unknown class or invalid bytes.
#[test]
fn floods_do_not_delay_good_clients() {
    let (_pool, pool) = bind();
    let mut server = Alone::new(&config(
        &pool,
        "127.0.0.1:1",
        "127.0.0.1:1",
        &[(r#""sockets":1024"#.to_owned(), r#""sockets":384"#.to_owned())],
    ));
    let address = server.address.clone();
    let mut bad: Vec<TcpStream> = Vec::new();
    let mut slowest = Duration::ZERO;
    for round in 0..40u8 {
        for at in 0..20u8 {
            let Ok(mut stream) = TcpStream::connect(&address) else { continue };
            let bytes: &[u8] = match at % 4 {
                0 => b"",
                1 => b"\x94\x00\x01",
                2 => b"\x94\x00\x01\xa4none\x91\x80",
                _ => b"\xc1\xc1\xc1",
            };
            let _ = stream.write_all(bytes);
            bad.push(stream);
        }
        // The number of descriptors of the test process is limited too.
        bad.drain(..bad.len().saturating_sub(300));
        let since = Instant::now();
        assert_eq!(
            server.check(),
            r"\x94\x01\x01\xc0\x92\xc3\x81\xa4load\xa11".replace(r"\x81\xa4load\xa11", r"\x80"),
            "round {round}"
        );
        slowest = slowest.max(since.elapsed());
    }
    println!("800 bad connections, 40 good checks, the slowest after {} ms", slowest.as_millis());
    assert!(slowest < Duration::from_secs(5));
}

/// Has idle clients hold all descriptors available to clients while the registry and the worker pool are
/// down, and asserts that both links come up afterwards, that the server reports, and that a good client is
/// served.
#[test]
fn idle_clients_may_take_all_their_descriptors_while_the_registry_is_down() {
    let pool = ReservedAddress::new().expect("a free port");
    let registry = ReservedAddress::new().expect("a free port");
    let (pool_at, registry_at) = (pool.address().to_string(), registry.address().to_string());
    let changes = [(r#""sockets":1024"#.to_owned(), r#""sockets":128"#.to_owned())];
    let server = Alone::limited(&config(&pool_at, &registry_at, "127.0.0.1:1", &changes), "128");
    // Each client sends one request and is then idle.
    let idle: Vec<Client> = (0..200).filter_map(|_| Client::resting(&server.address)).collect();
    println!("{} clients are idle after one request", idle.len());
    assert!(idle.len() >= 64, "only {} clients were accepted", idle.len());
    let pool = pool.listen().expect("the port is free");
    let registry = registry.listen().expect("the port is free");
    let since = Instant::now();
    let _report = accept_report(&registry);
    let mut link = BufReader::new(pool.accept().expect("the server connects its link").0);
    let mut bind = String::new();
    link.read_line(&mut bind).expect("a line");
    assert!(bind.contains("bind"), "{bind}");
    link.get_mut().write_all(b"{\"op\":\"bound\",\"end\":\"old\",\"ms\":5000}\n").expect("the link is open");
    let mut good = Client::new(&server.address);
    good.ask(1, "route-sheet");
    link.get_ref().set_read_timeout(Some(TIME_LIMIT)).expect("setting the timeout");
    let spawn = loop {
        let mut line = String::new();
        link.read_line(&mut line).expect("a line");
        let Some((_, tag)) = line.trim_end().split_once(r#"{"op":"poll","tag":""#) else { break line };
        let tag = tag.trim_end_matches("\"}");
        let polled = format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[0.1,0,0.1,1]}}\n");
        link.get_mut().write_all(polled.as_bytes()).expect("the link is open");
    };
    println!("health report, link and run command after {} ms", since.elapsed().as_millis());
    assert!(spawn.contains("spawn") && spawn.contains("route-sheet"), "{spawn}");
}

/// Starts 24 processes at once, some with the registry or the worker pool down, and asserts that nine in ten
/// are ready within 10 s. A server is ready when it listens and answers a health check; no peer has to be up.
#[test]
fn nine_in_ten_of_many_simultaneous_starts_are_ready_in_time() {
    let (pools, registries): (Vec<_>, Vec<_>) = (0..24).map(|_| (bind(), bind())).unzip();
    let (sender, receiver) = channel();
    let started_at = Instant::now();
    let threads: Vec<_> = (0..24usize)
        .map(|at| {
            let pool = if at % 3 == 0 { "127.0.0.1:1".to_owned() } else { pools[at].1.clone() };
            let registry = if at % 2 == 0 { "127.0.0.1:1".to_owned() } else { registries[at].1.clone() };
            let sender = sender.clone();
            std::thread::spawn(move || {
                let text = config(&pool, &registry, "127.0.0.1:1", &[]);
                let mut server = Alone::new(&text);
                let good = server.check().starts_with(r"\x94\x01\x01\xc0\x92\xc3");
                sender.send((at, good, started_at.elapsed())).expect("the results are received");
                server
            })
        })
        .collect();
    let ready: Vec<_> =
        (0..24).map(|_| receiver.recv_timeout(TIME_LIMIT).expect("the server is ready")).collect();
    let _servers: Vec<Alone> =
        threads.into_iter().map(|thread| thread.join().expect("the server started")).collect();
    let slowest = ready.iter().map(|result| result.2).max().expect("results");
    let in_time = ready.iter().filter(|(_, good, took)| *good && *took < Duration::from_secs(10)).count();
    let all: BTreeSet<usize> = ready.iter().map(|result| result.0).collect();
    println!("{in_time} of {} ready within 10 s, the slowest after {} ms", all.len(), slowest.as_millis());
    assert!(in_time * 10 >= all.len() * 9);
}
