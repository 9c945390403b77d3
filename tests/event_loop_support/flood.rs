//! Connections that keep the server's reads busy without end: notifications that nobody knows, as fast as they are taken.

use crate::upgrade_support::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Connections that flood.
pub const CONNECTIONS: usize = 24;
/// Time between two writes on a connection; what the systems hold unread lasts far longer.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);
/// The first message: a connection that never sent a request would be closed for it.
const HEALTH_CHECK: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";
/// A notification that nobody knows, and how many are written at once.
const NOTIFICATION: &[u8] = b"\x93\x02\xa4none\x90";
const NOTIFICATIONS: usize = 512;

/// A running flood; it ends when this is dropped.
pub struct Flood {
    is_over: Arc<AtomicBool>,
    closed: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// Starts a flood. Once this returns the server has accepted its connections, and they hold more than it reads in a while.
    pub fn start(address: SocketAddr) -> Flood {
        let (is_over, closed) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let mut sources: Vec<Source> = (0..CONNECTIONS).map(|_| Source::connect(address)).collect();
        for source in &mut sources {
            assert!(source.write(), "the server closed a connection at once");
        }
        let (over, count) = (is_over.clone(), closed.clone());
        let thread = std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                for source in sources.iter_mut().filter(|source| !source.is_closed) {
                    if !source.write() {
                        source.is_closed = true;
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                }
                std::thread::sleep(WRITE_INTERVAL);
            }
        });
        Flood { is_over, closed, thread: Some(thread) }
    }

    /// Returns how many of its connections the server has closed.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One connection of a flood.
struct Source {
    stream: TcpStream,
    /// What is being written, and how much of it was taken.
    bytes: Vec<u8>,
    written: usize,
    is_closed: bool,
}

impl Source {
    /// Connects, and waits for the answer to a health check.
    fn connect(address: SocketAddr) -> Source {
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time limit");
        stream.write_all(HEALTH_CHECK).expect("the connection is open");
        assert_ne!(stream.read(&mut [0; 64]).expect("an answer"), 0, "the server closed the connection");
        stream.set_nonblocking(true).expect("a socket");
        Source { stream, bytes: Vec::new(), written: 0, is_closed: false }
    }

    /// Writes what the connection takes, without an end in the middle of a message; returns whether it stands.
    fn write(&mut self) -> bool {
        loop {
            if self.written == self.bytes.len() {
                self.bytes = NOTIFICATION.repeat(NOTIFICATIONS);
                self.written = 0;
            }
            match self.stream.write(&self.bytes[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
    }
}
