//! A client connection: sends requests and reads their responses.

use super::TEST_TIMEOUT;
use dunlinspread::codec::msgpack::{self, Value};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of the next attempt; numbers are unique in the test program.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

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
    /// Message id of the last request.
    last_id: u64,
    /// Responses that were read and not yet returned.
    responses: VecDeque<(u64, ResponseKind)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connecting to the server");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
        Client { stream, decoder: msgpack::Decoder::default(), last_id: 0, responses: VecDeque::new() }
    }

    /// Sends a request and returns its message id.
    pub fn send(&mut self, method: &str, tenant: &str) -> u64 {
        self.send_with_key(method, tenant, None)
    }

    /// Sends a request with an optional idempotency key and returns its message id.
    pub fn send_with_key(&mut self, method: &str, tenant: &str, key: Option<&str>) -> u64 {
        self.last_id += 1;
        let bytes = request(self.last_id, method, tenant, key);
        self.stream.write_all(&bytes).expect("the connection is open");
        self.last_id
    }

    /// Returns the message id and kind of the next response.
    pub fn next_response(&mut self) -> (u64, ResponseKind) {
        loop {
            if let Some(response) = self.responses.pop_front() {
                return response;
            }
            let mut bytes = [0; 4096];
            let count = self.stream.read(&mut bytes).expect("reading a response");
            assert!(count > 0, "the connection closed with a response owed");
            self.decoder.feed(&bytes[..count]);
            while let Some(message) = self.decoder.next_message().expect("MessagePack") {
                self.responses.push_back(decode_response(&message));
            }
        }
    }

    /// Sends a request and returns the kind of its response.
    pub fn request(&mut self, method: &str, tenant: &str) -> ResponseKind {
        self.request_with_key(method, tenant, None)
    }

    /// Sends a request with an optional idempotency key and returns the kind of its response.
    pub fn request_with_key(&mut self, method: &str, tenant: &str, key: Option<&str>) -> ResponseKind {
        let id = self.send_with_key(method, tenant, key);
        let (answered, response) = self.next_response();
        assert_eq!(answered, id, "the response answers another request");
        response
    }
}

fn decode_response(message: &Value) -> (u64, ResponseKind) {
    let Value::Array(parts) = message else { panic!("not a response: {message:?}") };
    match &parts[..] {
        [Value::Uint(1), Value::Uint(id), Value::Array(error), ..] => {
            let Some(Value::Str(name)) = error.first() else { panic!("not a response: {message:?}") };
            let kind = match &name[..] {
                b"Backoff" => ResponseKind::Rejected,
                b"Failed" => ResponseKind::Failed,
                b"Invalid" => ResponseKind::Invalid,
                _ => panic!("unknown error: {message:?}"),
            };
            (*id, kind)
        }
        [Value::Uint(1), Value::Uint(id), ..] => (*id, ResponseKind::Completed),
        _ => panic!("not a response: {message:?}"),
    }
}

fn request(id: u64, method: &str, tenant: &str, key: Option<&str>) -> Vec<u8> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock past 1970");
    let call = format!("{:016x}", NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed));
    let mut fields = vec![
        ("call", call),
        ("recv", since_epoch.as_millis().to_string()),
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
