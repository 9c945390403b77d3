//! A server that is stopped or lags, as on a machine that is short of cores, while clients have the maximum
//! number of connections open: requests written meanwhile are answered, and no connection with one is closed.
//!
//! `DAILY_SEED` sets the seed.

mod upgrade_support;

use dunlinspread_fakes::unix_ms;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use upgrade_support::check::{judge, print_attempts};
use upgrade_support::clients::Clients;
use upgrade_support::load::LoadSettings;
use upgrade_support::messages::{RequestFields, Response, ServerMessage, decode, encode_request};
use upgrade_support::records::Outcome;
use upgrade_support::settings::{CLASSES, CLIENT_TIMEOUT_MS};
use upgrade_support::site::Site;
use upgrade_support::{TEST_TIMEOUT, from_environment, run_for, wait_for};

/// The seed where the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// Connections opened before the pause. With those opened during it, they are at most half of the descriptor
/// limit.
const CONNECTIONS: usize = 496;
/// Connections opened during the pause.
const FURTHER_CONNECTIONS: usize = 16;
/// Number of connections on which a request is written during the pause: those that have been idle longest.
const REQUESTS: usize = 50;
/// Length of the pause, far beyond the 50 ms within which a request may cross a close.
const PAUSE: Duration = Duration::from_millis(300);

/// The last attempt id that was used; ids are unique in the test program.
static LAST_CALL: AtomicU64 = AtomicU64::new(0);

/// A client connection and the bytes read from it that are not decoded yet.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    last_id: u64,
    shutdown_seen: bool,
}

impl Connection {
    /// Opens a connection and writes a request.
    fn open(address: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(address).expect("the server listens"))
    }

    /// Opens a connection and writes a request, as [`Connection::open`] does; returns `None` if the accept
    /// queue is full, so that the first packet would have to be sent again.
    fn open_at_once(address: SocketAddr) -> Option<Connection> {
        /// Less than the second after which the system sends the first packet again.
        const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok().map(Connection::new)
    }

    fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
        let mut connection = Connection { stream, bytes: Vec::new(), last_id: 0, shutdown_seen: false };
        connection.send();
        connection
    }

    /// Writes a request.
    fn send(&mut self) {
        self.last_id += 1;
        let fields = RequestFields {
            call: LAST_CALL.fetch_add(1, Ordering::Relaxed) + 1,
            received_ms: unix_ms(),
            timeout_ms: CLIENT_TIMEOUT_MS as u64,
            memory_kb: 20.0,
            priority: 0.9,
            key: None,
        };
        let request = encode_request(self.last_id, CLASSES[0], &fields, b"written in a pause");
        self.stream.write_all(&request).expect("the connection is open");
    }

    /// Returns the response to the last request, or `None` if the connection ends without one.
    fn response(&mut self) -> Option<Response> {
        let mut chunk = [0; 4096];
        loop {
            while let Some((message, length)) = decode(&self.bytes) {
                self.bytes.drain(..length);
                match message {
                    ServerMessage::Response(id, response) if id == self.last_id => return Some(response),
                    ServerMessage::Shutdown => self.shutdown_seen = true,
                    ServerMessage::Response(..) | ServerMessage::Other => {}
                }
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.bytes.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no response: {error}"),
            }
        }
    }
}

/// Requests that were written on idle connections while the server was stopped are answered, also when
/// further connections wait to be accepted.
#[test]
fn requests_written_in_a_pause_are_answered() {
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let mut site = Site::start(seed);
    let mut process = site.start_first();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut connection = Connection::open(site.listen);
        assert!(connection.response().is_some(), "seed {seed}: a request without a response");
        connections.push(connection);
    }
    process.signal("STOP");
    let mut further: Vec<Connection> =
        (0..FURTHER_CONNECTIONS).map(|_| Connection::open(site.listen)).collect();
    for connection in connections.iter_mut().take(REQUESTS) {
        connection.send();
    }
    run_for(PAUSE);
    process.signal("CONT");
    let of_idle = connections.iter_mut().take(REQUESTS).filter_map(Connection::response).count();
    let of_further = further.iter_mut().filter_map(Connection::response).count();
    println!("seed {seed}: answered {of_idle} of {REQUESTS}, and {of_further} of {FURTHER_CONNECTIONS}");
    let notified = connections.iter().filter(|connection| connection.shutdown_seen).count();
    assert_eq!(of_idle, REQUESTS, "seed {seed}: requests on idle connections lost, {notified} notified");
    assert_eq!(of_further, FURTHER_CONNECTIONS, "seed {seed}: requests on further connections lost");
}

/// Guards against an accept queue that overflows while the server is stopped: the system drops what clients
/// write on connections beyond the queue's length, and the server closes these as silent before the bytes
/// are sent again.
#[test]
fn as_many_connections_as_clients_may_open_find_room_at_a_stopped_server() {
    const WAITING_CONNECTIONS: usize = 512;
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let mut site = Site::start(seed);
    let mut process = site.start_first();
    process.signal("STOP");
    wait_for(seed, "the server is stopped", || process.is_stopped());
    let waiting: Vec<Connection> =
        (0..WAITING_CONNECTIONS).map_while(|_| Connection::open_at_once(site.listen)).collect();
    process.signal("CONT");
    let queued = waiting.len();
    let answered = waiting.into_iter().filter_map(|mut connection| connection.response()).count();
    println!("seed {seed}: {queued} queued, {answered} of {WAITING_CONNECTIONS} answered");
    assert_eq!(queued, WAITING_CONNECTIONS, "seed {seed}: the accept queue is full");
    assert_eq!(answered, WAITING_CONNECTIONS, "seed {seed}: requests on waiting connections lost");
}

/// Under a load that makes the event loop lag, no request is lost: each that is not served is refused.
#[test]
fn a_load_past_what_the_event_loop_bears_loses_nothing() {
    const LOAD_TIME: Duration = Duration::from_secs(3);
    let seed = from_environment("DAILY_SEED", DEFAULT_SEED);
    let mut site = Site::start(seed);
    let mut process = site.start_first();
    let load = LoadSettings { seed, rate: 900.0, shared_connections: 40, withdrawals: false };
    let clients = Clients::start(site.listen, site.request_ends(), load);
    run_for(LOAD_TIME);
    let records = clients.finish();
    let verdict = judge(&records, &site.started_runs());
    println!("overload, seed {seed}: {verdict}");
    print_attempts(&records, &[Outcome::Lost, Outcome::Unanswered]);
    assert!(process.exit_status().is_none(), "seed {seed}: the process ended");
    assert_eq!(verdict.broken_rules() + verdict.without_response(), 0, "seed {seed}: {verdict}");
}
