//! A control endpoint on a free loopback port, and callers of it.

#[allow(dead_code, reason = "each test program uses a part of it")]
pub mod registry;

use dunlinspread::server::control::{ControlEndpoint, ControlOptions};
use dunlinspread::server::serving_status::ServingStatus;
use dunlinspread::server::supervisor::TaskFailure;
use slog::{Discard, Logger, o};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of connections of a test's endpoint.
pub const MAX_CONNECTIONS: usize = 32;
/// Time within which a call is to be answered.
pub const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time limit of each wait, far beyond any expected delay.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// An endpoint, its status, and its reports of changes and failures.
pub struct Endpoint {
    pub endpoint: ControlEndpoint,
    pub status: Arc<ServingStatus>,
    pub changes: async_channel::Receiver<()>,
    pub failures: async_channel::Receiver<TaskFailure>,
}

impl Endpoint {
    pub fn start() -> Endpoint {
        let (changed, changes) = async_channel::bounded(1);
        let (failed, failures) = async_channel::unbounded();
        let status = ServingStatus::new(&["report".to_owned(), "entry".to_owned()], changed);
        let options = ControlOptions {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            max_connections: MAX_CONNECTIONS,
        };
        let log = Logger::root(Discard, o!());
        let endpoint = ControlEndpoint::start(options, status.clone(), failed, &log)
            .expect("a free port of the loopback");
        Endpoint { endpoint, status, changes, failures }
    }

    pub fn connect(&self) -> TcpStream {
        connect(self.endpoint.address())
    }

    /// Sends the bytes of a call and returns the answer.
    pub fn call(&self, bytes: &[u8]) -> Reply {
        call(self.endpoint.address(), bytes)
    }

    /// Makes a call without a body and returns the answer.
    pub fn request(&self, method: &str, path: &str) -> Reply {
        self.call(request(method, path).as_bytes())
    }
}

/// An answer, as a caller reads it.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    /// Reads an answer and the end of the connection.
    pub fn read(stream: &mut TcpStream) -> Reply {
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer and the end of the connection");
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("incomplete head: {text:?}"));
        let status = head.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)).expect("a status line");
        let length = format!("Content-Length: {}", body.len());
        assert!(head.lines().any(|line| line == length), "{length} in {head}");
        assert!(head.lines().any(|line| line == "Connection: close"), "{head}");
        let status = status.parse().expect("a status code");
        Reply { status, head: head.to_owned(), body: body.to_owned() }
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
    stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
    stream
}

pub fn call(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("the call is written");
    Reply::read(&mut stream)
}

/// Makes the calls that change nothing, and asserts that each is answered in time.
pub fn assert_answered_in_time(address: SocketAddr) {
    for (path, expected) in [("/api/ready", 503), ("/api/telemetry", 200)] {
        let started_at = Instant::now();
        let reply = call(address, request("GET", path).as_bytes());
        let elapsed = started_at.elapsed();
        assert_eq!(reply.status, expected, "{reply:?}");
        assert!(elapsed < ANSWER_TIME, "{path} took {elapsed:?}");
    }
}

pub fn request(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n")
}

/// Reads until the other side ends the connection and returns the bytes that it sent.
pub fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        Err(error) => panic!("the connection has not ended: {error}"),
    }
    bytes
}
