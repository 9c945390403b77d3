//! A registry that accepts all reports.
//!
//! The server closes the connection of a pending report when its health changes; the registry then accepts
//! the next connection. Connections are read one after the other, so that reports are received in the order
//! in which they were made.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};

/// A registry on a free port.
pub struct Registry {
    pub address: SocketAddr,
    /// Bodies of the reports that differ from the previous report.
    pub changes: Receiver<String>,
}

impl Registry {
    pub fn start() -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, changes) = channel();
        std::thread::spawn(move || {
            let mut last = String::new();
            for stream in listener.incoming() {
                let mut reader = BufReader::new(stream.expect("the server connects"));
                while let Ok(Some(report)) = read_report(&mut reader) {
                    if report != last && sender.send(report.clone()).is_err() {
                        return;
                    }
                    last = report;
                    if reader.get_mut().write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        break;
                    }
                }
            }
        });
        Registry { address, changes }
    }
}

/// Reads a report and returns its body, or `None` at the end of the connection.
fn read_report(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", bytes)) => length = bytes.parse().expect("a length"),
            None if line.trim_end().is_empty() => break,
            Some(_) | None => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(String::from_utf8(body).expect("a body of text")))
}
