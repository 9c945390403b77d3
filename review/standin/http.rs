//! The index and the catalog, over HTTP/1.1.

use crate::pool::call_reply;
use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub line: String,
    pub parent: String,
    pub body: Vec<u8>,
}

/// Reads one call; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let (mut length, mut parent) = (0, String::new());
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-parent-id" => parent = value.trim().to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { line: line.trim_end().to_owned(), parent, body })
}

/// The index. It answers each call after `delay`.
pub struct Index {
    pub address: SocketAddr,
    pub calls: AtomicU64,
    pub copies: AtomicU64,
    /// One of so many replies is followed by a second copy of itself; 0 for none.
    pub copy_every: AtomicU64,
}

/// Behaviour of the index.
#[derive(Clone, Copy)]
pub struct IndexTimes {
    pub delay: Duration,
    /// Time between a reply and its second copy.
    pub copy_gap: Duration,
}

impl Index {
    pub fn start(record: Arc<Record>, times: IndexTimes) -> Arc<Index> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let index = Arc::new(Index {
            address: listener.local_addr().expect("an address"),
            calls: AtomicU64::new(0),
            copies: AtomicU64::new(0),
            copy_every: AtomicU64::new(0),
        });
        let accepting = index.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (index, record) = (accepting.clone(), record.clone());
                std::thread::spawn(move || index.serve(number, stream, &record, times));
            }
        });
        index
    }

    fn serve(&self, number: usize, mut stream: TcpStream, record: &Record, times: IndexTimes) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        while let Some(Request { parent, body, .. }) = read_request(&mut reader) {
            let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
            record.line(&format!("index connection {number} {parent}: {}", String::from_utf8_lossy(&body)));
            // From a half to one and a half times the delay, by the call's number.
            let share = (call.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 11) as f64 / (1_u64 << 53) as f64;
            std::thread::sleep(times.delay.mul_f64(0.5 + share));
            let reply = call_reply(&body);
            let mut bytes =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len()).into_bytes();
            bytes.extend_from_slice(&reply);
            if stream.write_all(&bytes).is_err() {
                return;
            }
            let every = self.copy_every.load(Ordering::Relaxed);
            if every > 0 && call % every == 0 {
                std::thread::sleep(times.copy_gap);
                self.copies.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("index connection {number} {parent}: second copy"));
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        }
    }
}

/// The catalog, which answers every report with 204 and records what is reported.
pub fn start_catalog(record: Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
                while let Some(Request { line, body, .. }) = read_request(&mut reader) {
                    record.line(&format!("catalog {line} {}", String::from_utf8_lossy(&body)));
                    if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Makes one call of an operator, and returns the status and the body.
pub fn operator_call(address: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned());
    Some((status, body))
}
