//! Connection attempts that never complete: the peer's accept queue is full, so that its operating system
//! does not answer further first packets.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use play::sockets::{self, SocketState, TcpSocket};
use play::{Client, LoggedServer};
use rustix::net::{AddressFamily, SocketType};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time limit of each wait.
const HANG: Duration = Duration::from_secs(60);
/// Time after which the peer's accept queue counts as full if a connection attempt has not completed.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(300);
/// An address without a listener.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// The beginning of the response to a health check.
const HEALTHY: &str = r"\x94\x01\x01\xc0\x92\xc3";

/// A listener with a full accept queue.
struct FullListener {
    listener: TcpListener,
    address: SocketAddr,
    _filling: Vec<TcpStream>,
}

impl FullListener {
    fn new() -> FullListener {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        rustix::net::bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        rustix::net::listen(&socket, 0).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let mut filling = Vec::new();
        loop {
            match TcpStream::connect_timeout(&address, QUEUE_FULL_AFTER) {
                Ok(stream) => filling.push(stream),
                Err(error) if error.kind() == ErrorKind::TimedOut => break,
                Err(error) => panic!("filling the queue: {error}"),
            }
        }
        FullListener { listener, address, _filling: filling }
    }

    /// Returns the socket of a connection attempt by a process that is pending now.
    fn attempt(&self, process: u32) -> Option<TcpSocket> {
        let is_attempt = |socket: &TcpSocket| {
            socket.state == SocketState::Connecting && socket.remote_port == self.address.port()
        };
        sockets::of_process(process).into_iter().find(is_attempt)
    }

    /// Accepts connections until one arrives on which bytes are sent, and returns it.
    fn accept_used(&self) -> BufReader<TcpStream> {
        loop {
            let mut reader = BufReader::new(self.listener.accept().expect("a connection").0);
            let fills = reader.get_ref().peer_addr().ok().is_some_and(|peer| self.fills(peer));
            reader.get_ref().set_read_timeout(Some(HANG)).expect("a time limit");
            // The operating system may have completed an attempt at the moment at which it was abandoned.
            if !fills && reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                return reader;
            }
        }
    }

    fn fills(&self, peer: SocketAddr) -> bool {
        self._filling.iter().any(|stream| stream.local_addr().is_ok_and(|address| address == peer))
    }
}

/// The server abandons a pending attempt and starts a new one while it serves, and the link comes up once
/// the pool accepts.
#[test]
fn attempts_to_reach_the_pool_are_given_up_and_made_again() {
    let pool = FullListener::new();
    let config = play::config(&pool.address.to_string(), UNUSED_ADDRESS, UNUSED_ADDRESS, &[]);
    let server = LoggedServer::start(&mut play::command(&config, "unlimited").0);
    let mut client = Client::new(&server.address);
    client.ask(1, "route-sheet");
    let mut last = sockets::wait_for(|| pool.attempt(server.id()));
    for _ in 0..2 {
        let since = Instant::now();
        let next = sockets::wait_for(|| pool.attempt(server.id()).filter(|attempt| *attempt != last));
        println!("a new attempt {} ms after the one before was seen", since.elapsed().as_millis());
        let open = sockets::of_process(server.id());
        assert!(!open.contains(&last), "the attempt before is still open");
        assert!(Client::new(&server.address).check().starts_with(HEALTHY));
        last = next;
    }
    let mut link = pool.accept_used();
    let mut line = String::new();
    link.read_line(&mut line).expect("a line");
    assert!(line.contains("bind"), "{line}");
    link.get_mut().write_all(b"{\"op\":\"bound\",\"end\":\"old\",\"ms\":5000}\n").expect("the link is up");
    let spawn = next_command(&mut link);
    assert!(spawn.contains("spawn") && spawn.contains("route-sheet"), "{spawn}");
}

/// Returns the next command to the worker pool, and answers the gauge readings before it.
fn next_command(link: &mut BufReader<TcpStream>) -> String {
    let since = Instant::now();
    while since.elapsed() < HANG {
        let mut line = String::new();
        link.read_line(&mut line).expect("a line");
        let Some((_, tag)) = line.trim_end().split_once(r#"{"op":"poll","tag":""#) else { return line };
        let tag = tag.trim_end_matches("\"}");
        let polled = format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[0.1,0,0.1,1]}}\n");
        link.get_mut().write_all(polled.as_bytes()).expect("the link is up");
    }
    panic!("no command arrives");
}

/// A server with a worker pool that the test simulates.
struct ServerWithPool {
    server: LoggedServer,
    link: BufReader<TcpStream>,
    notices: u64,
}

impl ServerWithPool {
    fn start(upstream: &str, changes: &[(&str, &str)]) -> ServerWithPool {
        let pool = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = pool.local_addr().expect("an address").to_string();
        let changes: Vec<_> =
            changes.iter().map(|(from, to)| ((*from).to_owned(), (*to).to_owned())).collect();
        let config = play::config(&address, UNUSED_ADDRESS, upstream, &changes);
        let server = LoggedServer::start(&mut play::command(&config, "unlimited").0);
        let mut link = BufReader::new(pool.accept().expect("the server connects").0);
        link.get_ref().set_read_timeout(Some(HANG)).expect("a time limit");
        let mut line = String::new();
        link.read_line(&mut line).expect("a line");
        assert!(line.contains("bind"), "{line}");
        link.get_mut()
            .write_all(b"{\"op\":\"bound\",\"end\":\"old\",\"ms\":5000}\n")
            .expect("the link is up");
        ServerWithPool { server, link, notices: 0 }
    }

    /// Makes the run that is spawned next wait for an upstream call, and returns its id.
    fn block_next_run(&mut self) -> String {
        let spawn = next_command(&mut self.link);
        assert!(spawn.contains("spawn"), "{spawn}");
        let id = spawn.split('"').skip_while(|word| *word != "id").nth(2).expect("an id").to_owned();
        self.notify(&format!(r#""op":"blocked","id":"{id}","body":"YXNr""#));
        id
    }

    fn notify(&mut self, fields: &str) {
        self.notices += 1;
        let line = format!("{{{fields},\"seq\":{}}}\n", self.notices);
        self.link.get_mut().write_all(line.as_bytes()).expect("the link is up");
    }
}

/// The replacement that shortens the times of the class `pour-entry`, so that its requests end within a test.
const SHORT_TIMES: (&str, &str) = (
    r#""give_up_ms":90000,"target_ms":80000,"memory_span_ms":95000"#,
    r#""give_up_ms":4000,"target_ms":3000,"memory_span_ms":95000"#,
);

/// A call that never connects ends at its timeout as one that never ran, and a request that needs it fails
/// in time.
#[test]
fn a_call_that_never_connects_ends_in_its_time() {
    let upstream = FullListener::new();
    let mut serving = ServerWithPool::start(&upstream.address.to_string(), &[SHORT_TIMES]);
    let mut client = Client::new(&serving.server.address);
    let since = Instant::now();
    client.ask(1, "pour-entry dedupe=k1 heap=0.1");
    serving.block_next_run();
    sockets::wait_for(|| upstream.attempt(serving.server.id()));
    let answer = client.answer();
    println!("answered after {} ms: {answer}", since.elapsed().as_millis());
    assert!(answer.contains("Failed"), "{answer}");
    sockets::wait_for(|| upstream.attempt(serving.server.id()).is_none().then_some(()));
    assert!(Client::new(&serving.server.address).check().starts_with(HEALTHY));
}

/// While all connections to the upstream service are in use, a further call ends at its timeout as one that
/// never ran, and nothing of it is sent. Once a connection is free, the next call is made.
#[test]
fn a_call_without_a_free_connection_ends_in_its_time() {
    let upstream = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = upstream.local_addr().expect("an address").to_string();
    // The minimum number of descriptors, and cores for more runs than the calls that it allows.
    let changes =
        [SHORT_TIMES, (r#""sockets":1024"#, r#""sockets":64"#), (r#""n_cores":4"#, r#""n_cores":64"#)];
    let mut serving = ServerWithPool::start(&address, &changes);
    let mut client = Client::new(&serving.server.address);
    let mut calls = Vec::new();
    for number in 1..=MAX_CALLS {
        client.ask(number, "route-sheet heap=0.1");
        serving.block_next_run();
        let mut call = BufReader::new(upstream.accept().expect("the server connects").0);
        let mut line = String::new();
        call.read_line(&mut line).expect("a line");
        assert!(line.starts_with("POST "), "{line}");
        calls.push(call);
    }
    let since = Instant::now();
    let mut other = Client::new(&serving.server.address);
    other.ask(MAX_CALLS + 1, "pour-entry dedupe=k1 heap=0.1");
    serving.block_next_run();
    serving.server.log_line("waiting for a connection: all are in use");
    let answer = other.answer();
    println!("answered after {} ms: {answer}", since.elapsed().as_millis());
    assert!(answer.contains("Failed"), "{answer}");
    upstream.set_nonblocking(true).expect("a socket");
    let further = upstream.accept();
    assert!(further.is_err(), "a call was made: {further:?}");
    upstream.set_nonblocking(false).expect("a socket");
    let done = calls[0].get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    done.expect("the call is open");
    assert!(next_command(&mut serving.link).contains("supply"));
    other.ask(MAX_CALLS + 2, "pour-entry dedupe=k2 heap=0.1");
    let id = serving.block_next_run();
    let head = call_head(&upstream);
    assert!(head.contains(&id), "not the call of {id}: {head}");
}

/// Maximum number of connections to the upstream service that a server with the minimum number of
/// descriptors opens.
const MAX_CALLS: u64 = 8;

/// Returns the head of the next call on a new connection.
fn call_head(upstream: &TcpListener) -> String {
    let mut call = BufReader::new(upstream.accept().expect("the server connects").0);
    call.get_ref().set_read_timeout(Some(HANG)).expect("a time limit");
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && call.read_line(&mut head).expect("a line") > 0 {}
    head
}
