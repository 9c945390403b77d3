//! A stand-in of the catalog, and the operators' calls.

use crate::{lock, now_ms};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Reads a call and returns its body.
fn read_call(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// The catalog: takes reports, each with its time.
#[derive(Clone)]
pub struct Catalog {
    pub address: SocketAddr,
    pub reports: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Catalog {
    pub fn start() -> Catalog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let catalog = Catalog { address, reports: Arc::default() };
        let accepting = catalog.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let reports = accepting.reports.clone();
                thread::spawn(move || -> Option<()> {
                    let mut writer = stream.try_clone().ok()?;
                    let mut reader = BufReader::new(stream);
                    loop {
                        let body = read_call(&mut reader)?;
                        let text = String::from_utf8_lossy(&body).into_owned();
                        lock(&reports).push((now_ms(), text));
                        writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                    }
                });
            }
        });
        catalog
    }
}

/// Makes a call of an operator and returns the status.
pub fn operator_call(address: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reply = String::new();
    let _ = stream.read_to_string(&mut reply);
    let status = reply.split(' ').nth(1)?.parse().ok()?;
    let body = reply.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
    Some((status, body))
}
