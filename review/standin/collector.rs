//! A collector of exports, as the page on exports describes it: it takes the batch after its watermark, answers
//! what it has with the watermark again, and never overwrites.

use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What was taken of one ledger.
#[derive(Default)]
pub struct Taken {
    pub digests: Vec<String>,
    /// Requests that were served, by society.
    pub served_of: HashMap<String, i64>,
    /// Batches taken of the close that is not complete.
    pub parts: u64,
    /// End of the last close of which all batches were taken, Unix ms.
    pub complete_to: u64,
}

pub struct Collector {
    pub address: SocketAddr,
    pub taken: Mutex<HashMap<String, Taken>>,
    /// While it is down the collector takes nothing and answers nothing.
    pub is_down: AtomicBool,
    /// Whether it goes down once it has taken two batches of a close that has more.
    pub goes_down: AtomicBool,
}

/// A field of a protobuf message.
enum Field<'a> {
    Number(u64),
    Bytes(&'a [u8]),
}

fn varint(bytes: &[u8], at: &mut usize) -> u64 {
    let (mut value, mut shift) = (0, 0);
    while let Some(byte) = bytes.get(*at) {
        *at += 1;
        value |= u64::from(byte & 0x7f) << shift;
        shift += 7;
        if byte & 0x80 == 0 {
            break;
        }
    }
    value
}

fn fields(bytes: &[u8]) -> Vec<(u64, Field<'_>)> {
    let (mut at, mut fields) = (0, Vec::new());
    while at < bytes.len() {
        let key = varint(bytes, &mut at);
        match key & 7 {
            0 => fields.push((key >> 3, Field::Number(varint(bytes, &mut at)))),
            2 => {
                let length = varint(bytes, &mut at) as usize;
                fields.push((key >> 3, Field::Bytes(&bytes[at..at + length])));
                at += length;
            }
            kind => panic!("a field of the kind {kind}"),
        }
    }
    fields
}

impl Taken {
    fn add(&mut self, batch: &[u8]) -> String {
        let (mut items, mut close_to, mut is_last) = (0, 0, false);
        for (tag, field) in fields(batch) {
            match (tag, field) {
                (5, Field::Bytes(close)) => {
                    for (tag, field) in fields(close) {
                        if let (2, Field::Number(to)) = (tag, field) {
                            close_to = to;
                        }
                    }
                }
                (7, Field::Number(last)) => is_last = last == 1,
                (8, Field::Bytes(item)) => {
                    items += 1;
                    self.add_item(item);
                }
                _ => {}
            }
        }
        self.parts += 1;
        if is_last {
            (self.parts, self.complete_to) = (0, close_to);
        }
        format!("{items} items, last of its close: {is_last}")
    }

    fn add_item(&mut self, item: &[u8]) {
        let (mut society, mut outcome, mut requests) = (String::new(), 0, 0);
        for (tag, field) in fields(item) {
            match (tag, field) {
                (3, Field::Bytes(text)) => society = String::from_utf8_lossy(text).into_owned(),
                (5, Field::Number(number)) => outcome = number,
                (6, Field::Number(zigzag)) => requests = (zigzag >> 1) as i64 ^ -((zigzag & 1) as i64),
                _ => {}
            }
        }
        // Served within the aim, after it, and without a call.
        if (1..=3).contains(&outcome) {
            *self.served_of.entry(society).or_default() += requests;
        }
    }
}

impl Collector {
    /// Starts a collector that takes `delay` for each batch.
    pub fn start(record: Arc<Record>, delay: Duration) -> Arc<Collector> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let collector = Arc::new(Collector {
            address,
            taken: Mutex::default(),
            is_down: AtomicBool::new(false),
            goes_down: AtomicBool::new(false),
        });
        let accepting = collector.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (collector, record) = (accepting.clone(), record.clone());
                std::thread::spawn(move || collector.serve(stream, &record, delay));
            }
        });
        collector
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, delay: Duration) {
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        loop {
            let (mut line, mut length, mut digest) = (String::new(), 0, String::new());
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let Some((name, value)) = header.trim_end().split_once(':') else { break };
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "x-digest" => digest = value.trim().to_owned(),
                    _ => {}
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let path: Vec<&str> = line.split(' ').nth(1).unwrap_or("").trim_matches('/').split('/').collect();
            let reply = match (line.starts_with("PUT"), &path[..]) {
                (true, ["batches", server, born, number]) => {
                    std::thread::sleep(delay);
                    self.offer(
                        record,
                        &format!("{server}/{born}"),
                        number.parse().unwrap_or(0),
                        digest,
                        &body,
                    )
                }
                (false, ["batches", server, born]) => self.watermark(&format!("{server}/{born}"), 200),
                _ => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned(),
            };
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn offer(&self, record: &Record, ledger: &str, number: usize, digest: String, body: &[u8]) -> String {
        let mut status = 200;
        {
            let mut ledgers = self.taken.lock().unwrap();
            let taken = ledgers.entry(ledger.to_owned()).or_default();
            if number == taken.digests.len() + 1 {
                let text = taken.add(body);
                taken.digests.push(digest);
                record.line(&format!("collector takes batch {number} of {ledger}: {text}"));
                if taken.parts == 2 && self.goes_down.swap(false, Ordering::Relaxed) {
                    self.is_down.store(true, Ordering::Relaxed);
                    record.line("collector down");
                }
            } else if number >= 1 && taken.digests.get(number - 1).is_some_and(|known| *known != digest) {
                status = 409;
                record.line(&format!("collector has another batch {number} of {ledger}"));
            }
        }
        self.watermark(ledger, status)
    }

    fn watermark(&self, ledger: &str, status: u16) -> String {
        let ledgers = self.taken.lock().unwrap();
        let digests = ledgers.get(ledger).map(|taken| &taken.digests);
        let watermark = digests.map_or(0, Vec::len);
        let digest = digests.and_then(|digests| digests.last().cloned()).unwrap_or("0".repeat(64));
        format!(
            "HTTP/1.1 {status} OK\r\nX-Watermark: {watermark}\r\nX-Digest: {digest}\r\nContent-Length: 0\r\n\r\n"
        )
    }

    /// Returns the end of the last close of which all batches were taken, Unix ms.
    pub fn complete_to(&self) -> u64 {
        self.taken.lock().unwrap().values().map(|taken| taken.complete_to).max().unwrap_or(0)
    }

    /// Requests that were exported as served, by society.
    pub fn served_of(&self) -> HashMap<String, i64> {
        let mut sums = HashMap::new();
        for taken in self.taken.lock().unwrap().values() {
            for (society, requests) in &taken.served_of {
                *sums.entry(society.clone()).or_default() += requests;
            }
        }
        sums
    }
}
