//! A server process without running peers.

use super::HANG;
use super::bytes::{message, request, unescape};
use super::process::{STOP_AT, command, listening_address, start_with};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The first bytes of a notification, escaped.
const NOTIFICATION: &str = r"\x93\x02";

/// A server process without running peers, which is killed on drop.
pub struct Alone {
    server: Child,
    /// The address on which the server listens.
    pub address: String,
    /// Total time of the event loop stalls in the server's log, ms.
    stalled_ms: Arc<AtomicU64>,
}

/// Returns the length of the stall that a log line reports, ms.
fn stall_ms(line: &str) -> Option<u64> {
    let (_, fields) = line.split_once("event loop stalled")?;
    let (_, ms) = fields.split_once("ms: ")?;
    ms.split(',').next()?.trim().parse().ok()
}

impl Drop for Alone {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
    }
}

impl Alone {
    /// Starts the server and waits until it serves.
    pub fn new(config: &str) -> Alone {
        Alone::limited(config, "unlimited")
    }

    /// Starts the server with this descriptor limit and waits until it serves.
    pub fn limited(config: &str, descriptors: &str) -> Alone {
        Alone::serving(start_with(config, descriptors).0)
    }

    /// Starts the server with a point at which it stops itself, and waits until it serves.
    pub fn stopping_at(config: &str, point: &str) -> Alone {
        Alone::with_variable(config, STOP_AT, point)
    }

    /// Starts the server with an environment variable, and waits until it serves.
    pub fn with_variable(config: &str, name: &str, value: &str) -> Alone {
        let mut command = command(config, "unlimited").0;
        Alone::serving(command.env(name, value).spawn().expect("the server starts"))
    }

    fn serving(server: Child) -> Alone {
        let mut alone = Alone { server, address: String::new(), stalled_ms: Arc::default() };
        let log = BufReader::new(alone.server.stderr.take().expect("a log"));
        let mut lines = log.lines().map_while(Result::ok);
        alone.address = lines.find_map(|line| listening_address(&line)).expect("the server serves");
        // The log is read to its end, so that the server never blocks on writing it.
        let stalled_ms = alone.stalled_ms.clone();
        std::thread::spawn(move || {
            lines.filter_map(|line| stall_ms(&line)).for_each(|ms| {
                stalled_ms.fetch_add(ms, Ordering::Relaxed);
            });
        });
        alone
    }

    /// Returns the total time of the event loop stalls that the server has detected; it extends the time
    /// limits of its clients by that time.
    pub fn stalled(&self) -> Duration {
        Duration::from_millis(self.stalled_ms.load(Ordering::Relaxed))
    }

    /// Sends SIGSTOP to the process, and waits until it is stopped.
    pub fn stop(&self) {
        let id = Pid::from_child(&self.server);
        kill_process(id, Signal::STOP).expect("the process runs");
        waitpid(Some(id), WaitOptions::UNTRACED).expect("the process is a child");
    }

    /// Waits until the process has stopped itself.
    pub fn wait_until_stopped(&self) {
        let id = Pid::from_child(&self.server);
        let since = Instant::now();
        let options = WaitOptions::UNTRACED | WaitOptions::NOHANG;
        while waitpid(Some(id), options).expect("the process is a child").is_none() {
            assert!(since.elapsed() < HANG, "the server does not stop itself");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Continues the process.
    pub fn resume(&self) {
        kill_process(Pid::from_child(&self.server), Signal::CONT).expect("the process exists");
    }

    /// Returns the response to a health check.
    pub fn check(&mut self) -> String {
        Client::new(&self.address).check()
    }
}

/// A client connection to the server.
pub struct Client(TcpStream);

impl Client {
    /// Connects to the server.
    pub fn new(address: &str) -> Client {
        let stream = TcpStream::connect(address).expect("the server listens");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        Client(stream)
    }

    /// Connects, makes a health check and leaves the connection idle; returns `None` if the server closed
    /// the connection before the response.
    pub fn resting(address: &str) -> Option<Client> {
        let mut client = Client::new(address);
        client.0.write_all(&[&[0x94, 0, 1][..], &unescape("\\xa6isWell\\x91\\x80")[..]].concat()).ok()?;
        message(&mut client.0).starts_with(r"\x94").then_some(client)
    }

    /// Returns the response to a health check.
    pub fn check(&mut self) -> String {
        let check = [&[0x94, 0, 1][..], &unescape("\\xa6isWell\\x91\\x80")[..]].concat();
        self.0.write_all(&check).expect("the connection is open");
        message(&mut self.0)
    }

    /// Sends bytes, and returns the next message, or the way in which the connection ended.
    pub fn send(&mut self, bytes: &[u8]) -> String {
        self.0.write_all(bytes).expect("the connection is open");
        message(&mut self.0)
    }

    /// Returns the next message, or the way in which the connection ended.
    pub fn answer(&mut self) -> String {
        message(&mut self.0)
    }

    /// Sends a request.
    pub fn ask(&mut self, id: u64, class: &str) {
        self.ask_behind(&[], id, class);
    }

    /// Sends other bytes followed by a request, in one write.
    pub fn ask_behind(&mut self, other: &[u8], id: u64, class: &str) {
        let bytes = [other, &request("g", &format!("{id} {class}"))].concat();
        self.0.write_all(&bytes).expect("the connection is open");
    }

    /// Sends bytes, and returns whether all of them were written.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Returns the next response, or the way in which the connection ended; notifications are skipped.
    pub fn response(&mut self) -> String {
        loop {
            let received = message(&mut self.0);
            if !received.starts_with(NOTIFICATION) {
                return received;
            }
        }
    }

    /// Returns the bytes that have arrived and were not read, up to a limit, without reading them.
    pub fn unread(&self) -> Vec<u8> {
        const MAX_BYTES: usize = 64 * 1024;
        let mut bytes = vec![0; MAX_BYTES];
        self.0.set_nonblocking(true).expect("a socket");
        let peeked = self.0.peek(&mut bytes);
        self.0.set_nonblocking(false).expect("a socket");
        bytes.truncate(peeked.unwrap_or(0));
        bytes
    }

    /// Returns whether the connection is open and no byte has arrived.
    pub fn is_quiet(&self) -> bool {
        self.0.set_nonblocking(true).expect("a socket");
        let peeked = self.0.peek(&mut [0]);
        self.0.set_nonblocking(false).expect("a socket");
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Reads the bytes that have arrived, and returns whether the connection is open.
    pub fn is_open(&mut self) -> bool {
        self.0.set_nonblocking(true).expect("a socket");
        let ended = loop {
            match self.0.read(&mut [0; 64]) {
                Ok(0) => break true,
                Ok(_) => {}
                Err(error) => break error.kind() != ErrorKind::WouldBlock,
            }
        };
        self.0.set_nonblocking(false).expect("a socket");
        !ended
    }
}
