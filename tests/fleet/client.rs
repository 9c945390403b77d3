//! A client connection: sends requests and reads their responses.

use super::TEST_TIMEOUT;
use dunlinspread::codec::msgpack::{self, Value};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The last number of an attempt; numbers are unique in the test program.
static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// The kind of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    Completed,
    Rejected,
    Failed,
    Invalid,
}

/// One connection.
pub struct Client {
    stream: TcpStream,
    decoder: msgpack::Decoder,
    last: u64,
    read: VecDeque<(u64, ResponseKind)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
        Client { stream, decoder: msgpack::Decoder::default(), last: 0, read: VecDeque::new() }
    }

    /// Sends a request and returns its message id.
    pub fn send(&mut self, method: &str, tenant: &str) -> u64 {
        self.send_with_key(method, tenant, None)
    }

    /// As [`Client::send`], with an idempotency key.
    pub fn send_with_key(&mut self, method: &str, tenant: &str, key: Option<&str>) -> u64 {
        self.last += 1;
        let bytes = request(self.last, method, tenant, key);
        self.stream.write_all(&bytes).expect("the connection is open");
        self.last
    }

    /// Returns the message id and kind of the next response.
    pub fn next_response(&mut self) -> (u64, ResponseKind) {
        loop {
            if let Some(response) = self.read.pop_front() {
                return response;
            }
            let mut bytes = [0; 4096];
            let n = self.stream.read(&mut bytes).expect("a response comes");
            assert!(n > 0, "the connection closed with a response owed");
            self.decoder.feed(&bytes[..n]);
            while let Some(message) = self.decoder.next_message().expect("MessagePack") {
                self.read.push_back(decode_response(&message));
            }
        }
    }

    /// Sends a request and returns the kind of its response.
    pub fn request(&mut self, method: &str, tenant: &str) -> ResponseKind {
        self.request_with_key(method, tenant, None)
    }

    /// As [`Client::request`], with an idempotency key.
    pub fn request_with_key(&mut self, method: &str, tenant: &str, key: Option<&str>) -> ResponseKind {
        let id = self.send_with_key(method, tenant, key);
        let (answered, response) = self.next_response();
        assert_eq!(answered, id, "one at a time");
        response
    }
}

fn decode_response(message: &Value) -> (u64, ResponseKind) {
    let Value::Array(parts) = message else { panic!("no response: {message:?}") };
    match &parts[..] {
        [Value::Uint(1), Value::Uint(id), Value::Array(error), ..] => {
            let Some(Value::Str(name)) = error.first() else { panic!("no response: {message:?}") };
            let kind = match &name[..] {
                b"Backoff" => ResponseKind::Rejected,
                b"Failed" => ResponseKind::Failed,
                b"Invalid" => ResponseKind::Invalid,
                _ => panic!("unknown error: {message:?}"),
            };
            (*id, kind)
        }
        [Value::Uint(1), Value::Uint(id), ..] => (*id, ResponseKind::Completed),
        _ => panic!("no response: {message:?}"),
    }
}

fn request(id: u64, method: &str, tenant: &str, key: Option<&str>) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock past 1970");
    let call = format!("{:016x}", LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed));
    let mut fields = vec![
        ("call", call),
        ("recv", since.as_millis().to_string()),
        ("src", "4".to_owned()),
        ("heap", "20".to_owned()),
        ("crit", "0.9".to_owned()),
        ("org", tenant.to_owned()),
    ];
    fields.extend(key.map(|key| ("dedupe", key.to_owned())));
    let mut out = Vec::new();
    msgpack::put_array(&mut out, 4);
    msgpack::put_uint(&mut out, 0);
    msgpack::put_uint(&mut out, id);
    msgpack::put_str(&mut out, method);
    msgpack::put_array(&mut out, 2);
    msgpack::put_map(&mut out, fields.len() as u8);
    for (key, value) in &fields {
        msgpack::put_str(&mut out, key);
        msgpack::put_str(&mut out, value);
    }
    msgpack::put_bin(&mut out, b"body");
    out
}
