//! A caller's connection: sends requests and reads their answers.

use super::HANG;
use dunlinspread::codec::msgpack::{self, Value};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Names of tries are new in the whole test program.
static LAST_CALL: AtomicU64 = AtomicU64::new(1);

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused,
    Failed,
    Invalid,
}

/// One connection.
pub struct Caller {
    stream: TcpStream,
    decoder: msgpack::Decoder,
    last: u64,
    read: VecDeque<(u64, Answer)>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        Caller { stream, decoder: msgpack::Decoder::default(), last: 0, read: VecDeque::new() }
    }

    /// Sends a request and gives its number.
    pub fn send(&mut self, method: &str, tenant: &str) -> u64 {
        self.send_keyed(method, tenant, None)
    }

    /// The same with a key, as classes of that kind want.
    pub fn send_keyed(&mut self, method: &str, tenant: &str, key: Option<&str>) -> u64 {
        self.last += 1;
        let bytes = request(self.last, method, tenant, key);
        self.stream.write_all(&bytes).expect("the connection stands");
        self.last
    }

    /// The next answer, and to which request.
    pub fn answer(&mut self) -> (u64, Answer) {
        loop {
            if let Some(answer) = self.read.pop_front() {
                return answer;
            }
            let mut bytes = [0; 4096];
            let n = self.stream.read(&mut bytes).expect("an answer comes");
            assert!(n > 0, "the connection ended with an answer owed");
            self.decoder.feed(&bytes[..n]);
            while let Some(message) = self.decoder.next_message().expect("MessagePack") {
                self.read.push_back(answer(&message));
            }
        }
    }

    /// Sends one request and reads its answer.
    pub fn ask(&mut self, method: &str, tenant: &str) -> Answer {
        self.ask_keyed(method, tenant, None)
    }

    /// The same with a key.
    pub fn ask_keyed(&mut self, method: &str, tenant: &str, key: Option<&str>) -> Answer {
        let id = self.send_keyed(method, tenant, key);
        let (answered, answer) = self.answer();
        assert_eq!(answered, id, "one at a time");
        answer
    }
}

fn answer(message: &Value) -> (u64, Answer) {
    let Value::Array(parts) = message else { panic!("no answer: {message:?}") };
    match &parts[..] {
        [Value::Uint(1), Value::Uint(id), Value::Array(error), ..] => {
            let Some(Value::Str(name)) = error.first() else { panic!("no answer: {message:?}") };
            let answer = match &name[..] {
                b"Backoff" => Answer::Refused,
                b"Failed" => Answer::Failed,
                b"Invalid" => Answer::Invalid,
                _ => panic!("unknown error: {message:?}"),
            };
            (*id, answer)
        }
        [Value::Uint(1), Value::Uint(id), ..] => (*id, Answer::Served),
        _ => panic!("no answer: {message:?}"),
    }
}

fn request(id: u64, method: &str, tenant: &str, key: Option<&str>) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock past 1970");
    let call = format!("{:016x}", LAST_CALL.fetch_add(1, Ordering::Relaxed));
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
