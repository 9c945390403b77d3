//! The simulated peers of the server: the worker pool, the upstream service and the registry, each on its
//! own port.

use super::HANG;
use super::process::config;
use super::sockets::describe_peer;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::Sender;

/// The listeners of all peers.
pub struct Listeners {
    pub pool: TcpListener,
    pub upstream: TcpListener,
    pub registry: TcpListener,
}

/// Number of loopback addresses that this test program has used.
static ADDRESSES_TAKEN: AtomicU32 = AtomicU32::new(0);

/// Returns a separate loopback address for the peers of one server. A server of another test that keeps
/// connecting to a port which the system has assigned again doesn't reach them.
fn own_address() -> Ipv4Addr {
    /// First address of the upper half of the loopback network.
    const FIRST: u32 = 0x7f80_0000;
    const NUMBER_BITS: u32 = 10;
    const PROCESS_BITS: u32 = 13;
    let number = ADDRESSES_TAKEN.fetch_add(1, Ordering::Relaxed) % (1 << NUMBER_BITS);
    let process = std::process::id() % (1 << PROCESS_BITS);
    Ipv4Addr::from_bits(FIRST | process << NUMBER_BITS | number)
}

impl Listeners {
    /// Listens on free ports, and returns the configuration that names them.
    pub fn bind(changes: &[(String, String)]) -> (Listeners, String) {
        let own_address = own_address();
        let bind = || TcpListener::bind((own_address, 0)).expect("a free port");
        let peers = Listeners { pool: bind(), upstream: bind(), registry: bind() };
        let address = |listener: &TcpListener| listener.local_addr().expect("an address").to_string();
        let text =
            config(&address(&peers.pool), &address(&peers.registry), &address(&peers.upstream), changes);
        (peers, text)
    }
}

/// A peer with the connection that it uses, which is accepted when it is first needed.
pub struct Peer {
    listener: TcpListener,
    pub connection: Option<BufReader<TcpStream>>,
}

impl Peer {
    pub fn new(listener: TcpListener) -> Peer {
        Peer { listener, connection: None }
    }

    /// Returns the address on which the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Returns the connection, and accepts the next one from the server if there is none.
    pub fn connected(&mut self) -> &mut BufReader<TcpStream> {
        self.connection.get_or_insert_with(|| accept(&self.listener))
    }
}

fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let (stream, _) = listener.accept().expect("the server connects");
    stream.set_read_timeout(Some(HANG)).expect("a time limit");
    BufReader::new(stream)
}

/// Reads a line, and returns it without the line ending.
pub fn read_line(reader: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    if let Err(error) = reader.read_line(&mut text) {
        panic!("no line is received: {error}, {}", describe_peer(reader.get_ref()));
    }
    text.trim_end().to_owned()
}

/// Reads an HTTP request and returns its head and body on one line, without headers that are the same in all
/// requests; `None` at the end of the connection.
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

/// Answers the reports to a registry in a separate thread, and sends each changed report to `changes`.
pub fn answer_reports(registry: TcpListener, changes: Sender<String>) {
    std::thread::spawn(move || {
        let mut last = String::new();
        loop {
            let mut reader = accept(&registry);
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
