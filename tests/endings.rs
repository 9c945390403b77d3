//! Peers that hang, tasks that fail, floods, and many starts at once, on real sockets. Events are made to cross by holding
//! back a peer; times are measured and printed, and no sleep decides.

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

const HANG: Duration = Duration::from_secs(60);

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Returns the next connection with a complete first report, open and unanswered. On a starved machine the server may give
/// a report up before it was read; the connection then ends, and the next one counts.
fn report(registry: &TcpListener) -> (BufReader<TcpStream>, Instant) {
    loop {
        let (stream, _) = registry.accept().expect("the server connects");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        let mut reader = BufReader::new(stream);
        if read_report(&mut reader) {
            return (reader, Instant::now());
        }
    }
}

/// Reads a report to its end and returns whether the connection lasted so long.
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

/// A registry that answers no report receives the next one while the one before still hangs, so that a missing response
/// does not let the entry expire.
#[test]
fn reports_go_on_beside_one_that_hangs() {
    let (registry, address) = bind();
    let _server = Alone::new(&config("127.0.0.1:1", &address, "127.0.0.1:1", &[]));
    let (mut first, began) = report(&registry);
    let (_second, then) = report(&registry);
    first.get_mut().set_nonblocking(true).expect("a socket");
    let still = first.get_mut().read(&mut [0]);
    println!("the second report came after {} ms", (then - began).as_millis());
    let open = matches!(&still, Err(e) if e.kind() == ErrorKind::WouldBlock);
    assert!(open, "the first was given up before the second was made: {still:?}");
}

/// A registry that answers 204 and lists nobody may have been replaced: before the entry can expire a report is made on a
/// new connection, though the old one answers.
#[test]
fn reports_move_to_a_new_connection_before_the_entry_expires() {
    let (registry, address) = bind();
    let _server = Alone::new(&config("127.0.0.1:1", &address, "127.0.0.1:1", &[]));
    let (mut first, began) = report(&registry);
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
    let (_second, then) = report(&registry);
    let kept = receiver.try_iter().count();
    println!(
        "a new connection after {} ms, {kept} further reports on the old one",
        (then - began).as_millis()
    );
    assert!(kept > 0, "the old connection was not used again");
    assert!(then - began < Duration::from_secs(3), "the entry could expire");
}

/// A panic of a supervised task is reported with its name and message, and so is its unexpected end.
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
    // The timer wheel is such a task: it never ends.
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

/// Hundreds of faulty clients beside a good one: silent ones, incomplete messages, an unknown class, noise. Each health
/// check of the good one is answered.
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
        // The test's own descriptors are bounded as well.
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

/// Idle clients hold all descriptors that clients may have while the registry and the worker pool are down. Both links still
/// come up afterwards, the server reports, and a good client is served.
#[test]
fn idle_clients_may_take_all_their_descriptors_while_the_registry_is_down() {
    let pool = ReservedAddress::new().expect("a free port");
    let registry = ReservedAddress::new().expect("a free port");
    let (pool_at, registry_at) = (pool.address().to_string(), registry.address().to_string());
    let changes = [(r#""sockets":1024"#.to_owned(), r#""sockets":128"#.to_owned())];
    let server = Alone::limited(&config(&pool_at, &registry_at, "127.0.0.1:1", &changes), "128");
    // Each asks once and then rests.
    let resting: Vec<Client> = (0..200).filter_map(|_| Client::resting(&server.address)).collect();
    println!("{} clients asked and rest", resting.len());
    assert!(resting.len() >= 64, "only {} were taken", resting.len());
    let pool = pool.listen().expect("the port was kept");
    let registry = registry.listen().expect("the port was kept");
    let since = Instant::now();
    let _report = report(&registry);
    let mut link = BufReader::new(pool.accept().expect("the link comes").0);
    let mut bind = String::new();
    link.read_line(&mut bind).expect("a line");
    assert!(bind.contains("bind"), "{bind}");
    link.get_mut().write_all(b"{\"op\":\"bound\",\"end\":\"old\",\"ms\":5000}\n").expect("the link stands");
    let mut good = Client::new(&server.address);
    good.ask(1, "route-sheet");
    link.get_ref().set_read_timeout(Some(HANG)).expect("a time limit");
    let spawn = loop {
        let mut line = String::new();
        link.read_line(&mut line).expect("a line");
        let Some((_, tag)) = line.trim_end().split_once(r#"{"op":"poll","tag":""#) else { break line };
        let tag = tag.trim_end_matches("\"}");
        let polled = format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[0.1,0,0.1,1]}}\n");
        link.get_mut().write_all(polled.as_bytes()).expect("the link stands");
    };
    println!("reported, linked and asked to run after {} ms", since.elapsed().as_millis());
    assert!(spawn.contains("spawn") && spawn.contains("route-sheet"), "{spawn}");
}

/// Twenty-four processes start at once, with the registry and the worker pool down for some: nine in ten are ready within
/// 10 s. Ready means that the server listens and answers a health check; no peer has to be up.
#[test]
fn nine_in_ten_of_many_simultaneous_starts_are_ready_in_time() {
    let (pools, registries): (Vec<_>, Vec<_>) = (0..24).map(|_| (bind(), bind())).unzip();
    let (sender, receiver) = channel();
    let began = Instant::now();
    let threads: Vec<_> = (0..24usize)
        .map(|at| {
            let pool = if at % 3 == 0 { "127.0.0.1:1".to_owned() } else { pools[at].1.clone() };
            let registry = if at % 2 == 0 { "127.0.0.1:1".to_owned() } else { registries[at].1.clone() };
            let sender = sender.clone();
            std::thread::spawn(move || {
                let text = config(&pool, &registry, "127.0.0.1:1", &[]);
                let mut server = Alone::new(&text);
                let good = server.check().starts_with(r"\x94\x01\x01\xc0\x92\xc3");
                sender.send((at, good, began.elapsed())).expect("somebody counts");
                server
            })
        })
        .collect();
    let ready: Vec<_> = (0..24).map(|_| receiver.recv_timeout(HANG).expect("it is ready")).collect();
    let _servers: Vec<Alone> = threads.into_iter().map(|t| t.join().expect("it started")).collect();
    let slowest = ready.iter().map(|r| r.2).max().expect("some");
    let in_time = ready.iter().filter(|(_, good, took)| *good && *took < Duration::from_secs(10)).count();
    let all: BTreeSet<usize> = ready.iter().map(|r| r.0).collect();
    println!("{in_time} of {} ready within 10 s, the slowest after {} ms", all.len(), slowest.as_millis());
    assert!(in_time * 10 >= all.len() * 9);
}
