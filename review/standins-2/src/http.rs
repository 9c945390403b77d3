//! Stand-ins of the catalog and of the index, and the operators' calls.

use crate::pool::call_reply;
use crate::{lock, now_ms};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

struct Call {
    path: String,
    parent: String,
    body: Vec<u8>,
}

fn read_call(reader: &mut impl BufRead) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let (mut length, mut parent) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-parent-id" => parent = value.trim().to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Call { path, parent, body })
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
                        let call = read_call(&mut reader)?;
                        let text = String::from_utf8_lossy(&call.body).into_owned();
                        lock(&reports).push((now_ms(), text));
                        writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                    }
                });
            }
        });
        catalog
    }
}

/// The index: replies to a call with a text that names its body.
#[derive(Clone, Copy)]
pub struct IndexSettings {
    /// Time that a call takes, ms.
    pub call_ms: u64,
    /// Of how many calls one gets a second copy of its reply; 0 for none.
    pub copy_every: u64,
    /// How long after the reply its second copy is written, ms.
    pub copy_after_ms: u64,
}

#[derive(Clone)]
pub struct Index {
    pub address: SocketAddr,
    /// Calls: time, id of the request, body.
    pub calls: Arc<Mutex<Vec<(u64, String, Vec<u8>)>>>,
    pub copies: Arc<Mutex<u64>>,
}

impl Index {
    pub fn start(settings: IndexSettings) -> Index {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let index = Index { address, calls: Arc::default(), copies: Arc::default() };
        let accepting = index.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let index = accepting.clone();
                thread::spawn(move || index.serve(stream, settings));
            }
        });
        index
    }

    fn serve(&self, stream: TcpStream, settings: IndexSettings) -> Option<()> {
        let _ = stream.set_nodelay(true);
        // Calls on one connection come one at a time; a copy may still be on its way when the next one comes.
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut reader = BufReader::new(stream);
        loop {
            let call = read_call(&mut reader)?;
            let number = {
                let mut calls = lock(&self.calls);
                calls.push((now_ms(), call.parent, call.body.clone()));
                calls.len() as u64
            };
            thread::sleep(Duration::from_millis(settings.call_ms));
            let body = call_reply(&call.body);
            let mut reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
            reply.extend(&body);
            lock(&writer).write_all(&reply).ok()?;
            if settings.copy_every > 0 && number % settings.copy_every == 0 {
                let (writer, copies) = (writer.clone(), self.copies.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(settings.copy_after_ms));
                    if lock(&writer).write_all(&reply).is_ok() {
                        *lock(&copies) += 1;
                    }
                });
            }
        }
    }
}

/// Makes a call of an operator and returns the status.
pub fn operator_call(address: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reply = String::new();
    let _ = stream.read_to_string(&mut reply);
    let status = reply.split(' ').nth(1)?.parse().ok()?;
    let body = reply.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
    Some((status, body))
}
