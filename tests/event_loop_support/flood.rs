//! Connections that keep the server's reads busy: they send unknown notifications as fast as the server reads
//! them.

use crate::upgrade_support::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of flooding connections.
pub const CONNECTIONS: usize = 24;
/// Time between two writes on a connection, far shorter than the server needs to read the bytes in the socket
/// buffers.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);
/// First message of a connection, as the server closes connections that never send a request.
const HEALTH_CHECK: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";
/// A notification that the server does not know.
const NOTIFICATION: &[u8] = b"\x93\x02\xa4none\x90";
/// Number of notifications in one write.
const NOTIFICATIONS: usize = 512;

/// A running flood, which ends when the value is dropped.
pub struct Flood {
    stop: Arc<AtomicBool>,
    closed: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// Starts a flood. When this returns, the server has accepted the connections, and they hold more unread
    /// bytes than it reads in a while.
    pub fn start(address: SocketAddr) -> Flood {
        let (stop, closed) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let mut sources: Vec<Source> = (0..CONNECTIONS).map(|_| Source::connect(address)).collect();
        for source in &mut sources {
            assert!(source.write(), "the server closed a connection at once");
        }
        let (stop_requested, closed_count) = (stop.clone(), closed.clone());
        let thread = std::thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                for source in sources.iter_mut().filter(|source| !source.is_closed) {
                    if !source.write() {
                        source.is_closed = true;
                        closed_count.fetch_add(1, Ordering::Relaxed);
                    }
                }
                std::thread::sleep(WRITE_INTERVAL);
            }
        });
        Flood { stop, closed, thread: Some(thread) }
    }

    /// Returns the number of the flood's connections that the server has closed.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One connection of a flood.
struct Source {
    stream: TcpStream,
    /// Bytes of the current write.
    bytes: Vec<u8>,
    /// Number of `bytes` that the socket has accepted.
    written: usize,
    is_closed: bool,
}

impl Source {
    /// Connects, and waits for the answer to a health check.
    fn connect(address: SocketAddr) -> Source {
        let mut stream = TcpStream::connect(address).expect("connecting to the server");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
        stream.write_all(HEALTH_CHECK).expect("the connection is open");
        assert_ne!(stream.read(&mut [0; 64]).expect("an answer"), 0, "the server closed the connection");
        stream.set_nonblocking(true).expect("setting the blocking mode");
        Source { stream, bytes: Vec::new(), written: 0, is_closed: false }
    }

    /// Writes as much as the socket accepts and continues a partly written message; returns whether the
    /// connection is open.
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
