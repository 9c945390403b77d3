//! The server started with none of its peers up.

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

/// The server without its peers.
pub struct Alone {
    server: Child,
    /// Where it listens.
    pub address: String,
    /// The ms for which its log says that the event loop stood still.
    stalled_ms: Arc<AtomicU64>,
}

/// Returns the length of the stall that a log line tells of.
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
    /// Starts it and waits until it serves.
    pub fn new(config: &str) -> Alone {
        Alone::limited(config, "unlimited")
    }

    /// Starts it with so many descriptors and waits until it serves.
    pub fn limited(config: &str, descriptors: &str) -> Alone {
        Alone::serving(start_with(config, descriptors).0)
    }

    /// Starts it with a point at which it will stop itself, and waits until it serves.
    pub fn stopping_at(config: &str, point: &str) -> Alone {
        Alone::with_variable(config, STOP_AT, point)
    }

    /// Starts it with a variable, and waits until it serves.
    pub fn with_variable(config: &str, name: &str, value: &str) -> Alone {
        let mut command = command(config, "unlimited").0;
        Alone::serving(command.env(name, value).spawn().expect("the server starts"))
    }

    fn serving(server: Child) -> Alone {
        let mut alone = Alone { server, address: String::new(), stalled_ms: Arc::default() };
        let log = BufReader::new(alone.server.stderr.take().expect("a log"));
        let mut lines = log.lines().map_while(Result::ok);
        alone.address = lines.find_map(|line| listening_address(&line)).expect("it serves");
        // The log is read to its end, so that the server can write it.
        let stalled_ms = alone.stalled_ms.clone();
        std::thread::spawn(move || {
            lines.filter_map(|line| stall_ms(&line)).for_each(|ms| {
                stalled_ms.fetch_add(ms, Ordering::Relaxed);
            });
        });
        alone
    }

    /// Returns how long the event loop stood still so far, as far as the server noticed: by that much it puts off the time
    /// limits of its clients.
    pub fn stalled(&self) -> Duration {
        Duration::from_millis(self.stalled_ms.load(Ordering::Relaxed))
    }

    /// Stops the process, and waits until it stands still.
    pub fn stop(&self) {
        let id = Pid::from_child(&self.server);
        kill_process(id, Signal::STOP).expect("it runs");
        waitpid(Some(id), WaitOptions::UNTRACED).expect("it is a child");
    }

    /// Waits until the process has stopped itself.
    pub fn wait_until_stopped(&self) {
        let id = Pid::from_child(&self.server);
        let since = Instant::now();
        let options = WaitOptions::UNTRACED | WaitOptions::NOHANG;
        while waitpid(Some(id), options).expect("it is a child").is_none() {
            assert!(since.elapsed() < HANG, "the server does not stop itself");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Continues the process.
    pub fn resume(&self) {
        kill_process(Pid::from_child(&self.server), Signal::CONT).expect("it is stopped");
    }

    /// Returns the response to a health check.
    pub fn check(&mut self) -> String {
        Client::new(&self.address).check()
    }
}

/// A client of the server.
pub struct Client(TcpStream);

impl Client {
    /// Connects.
    pub fn new(address: &str) -> Client {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        Client(stream)
    }

    /// Connects, makes a health check and rests; none if the server closed the connection before its response.
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

    /// Sends bytes, and returns the next message or how the connection ended.
    pub fn send(&mut self, bytes: &[u8]) -> String {
        self.0.write_all(bytes).expect("the connection is open");
        message(&mut self.0)
    }

    /// Returns the next message, or how the connection ended.
    pub fn answer(&mut self) -> String {
        message(&mut self.0)
    }

    /// Sends a request.
    pub fn ask(&mut self, id: u64, class: &str) {
        self.ask_behind(&[], id, class);
    }

    /// Sends other bytes and a request behind them, in one write.
    pub fn ask_behind(&mut self, other: &[u8], id: u64, class: &str) {
        let bytes = [other, &request("g", &format!("{id} {class}"))].concat();
        self.0.write_all(&bytes).expect("the connection is open");
    }

    /// Sends these bytes, and returns whether the connection took them.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Returns the next response, or how the connection ended; notifications are passed over.
    pub fn response(&mut self) -> String {
        loop {
            let received = message(&mut self.0);
            if !received.starts_with(NOTIFICATION) {
                return received;
            }
        }
    }

    /// Returns what has come and was not read yet, up to a limit; nothing is taken.
    pub fn unread(&self) -> Vec<u8> {
        const MAX_BYTES: usize = 64 * 1024;
        let mut bytes = vec![0; MAX_BYTES];
        self.0.set_nonblocking(true).expect("a socket");
        let peeked = self.0.peek(&mut bytes);
        self.0.set_nonblocking(false).expect("a socket");
        bytes.truncate(peeked.unwrap_or(0));
        bytes
    }

    /// Returns whether nothing has come and the connection stands.
    pub fn is_quiet(&self) -> bool {
        self.0.set_nonblocking(true).expect("a socket");
        let peeked = self.0.peek(&mut [0]);
        self.0.set_nonblocking(false).expect("a socket");
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Reads what has come, and returns whether the connection stands.
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
