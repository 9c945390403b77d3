//! The peers of the server: the worker pool, the upstream service and the registry, on ports of their own.

use super::HANG;
use super::process::config;
use super::sockets::{describe_peer, is_from_another_process};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;

/// The listeners of all peers.
pub struct Listeners {
    pub pool: TcpListener,
    pub upstream: TcpListener,
    pub registry: TcpListener,
}

impl Listeners {
    /// Listens on free ports, and returns the configuration that names them.
    pub fn bind(changes: &[(String, String)]) -> (Listeners, String) {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let peers = Listeners { pool: bind(), upstream: bind(), registry: bind() };
        let address = |listener: &TcpListener| listener.local_addr().expect("an address").to_string();
        let text =
            config(&address(&peers.pool), &address(&peers.registry), &address(&peers.upstream), changes);
        (peers, text)
    }
}

/// A peer with the connection that it uses, accepted when it is first needed.
pub struct Peer {
    listener: TcpListener,
    /// The server's process.
    server: u32,
    pub connection: Option<BufReader<TcpStream>>,
}

impl Peer {
    pub fn new(listener: TcpListener, server: u32) -> Peer {
        Peer { listener, server, connection: None }
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Returns the connection, or the next one that the server opens.
    pub fn connected(&mut self) -> &mut BufReader<TcpStream> {
        self.connection.get_or_insert_with(|| accept(&self.listener, self.server))
    }
}

/// Accepts the next connection of the server with this process id. Those of others are closed: their ports were another
/// test's before.
fn accept(listener: &TcpListener, server: u32) -> BufReader<TcpStream> {
    let stream = loop {
        let (stream, _) = listener.accept().expect("the server connects");
        if !is_from_another_process(&stream, server) {
            break stream;
        }
        println!("not the server's connection: {}", describe_peer(&stream));
    };
    stream.set_read_timeout(Some(HANG)).expect("a time limit");
    BufReader::new(stream)
}

/// Reads a line without its end.
pub fn read_line(reader: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    if let Err(error) = reader.read_line(&mut text) {
        panic!("no line: {error}, {}", describe_peer(reader.get_ref()));
    }
    text.trim_end().to_owned()
}

/// Reads an HTTP request and returns its head and body on one line, without what is the same in all; none at the end.
pub fn read_http_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut request, mut length) = (read_line(reader), 0);
    loop {
        let text = read_line(reader);
        match text.split_once(": ") {
            Some(("Content-Length", bytes)) => length = bytes.parse().expect("a length"),
            Some(("Host" | "Content-Type", _)) => {}
            Some(("X-Budget-Ms", budget)) => {
                assert!(budget.parse::<u64>().is_ok_and(|budget| budget > 0), "budget {budget}");
                request.push_str(" | X-Budget-Ms: N");
            }
            Some(_) => drop(write!(request, " | {text}")),
            None if request.is_empty() => return None,
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    Some(format!("{request} | {}", body.escape_ascii()))
}

/// Answers the reports of the server with this process id in a thread of its own, and passes each change on.
pub fn answer_reports(registry: TcpListener, server: u32, changes: Sender<String>) {
    std::thread::spawn(move || {
        let mut last = String::new();
        loop {
            let mut reader = accept(&registry, server);
            while let Some(report) = read_http_request(&mut reader) {
                if report != last && changes.send(report.clone()).is_err() {
                    return;
                }
                last = report;
                let _ = reader.get_mut().write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            }
        }
    });
}
