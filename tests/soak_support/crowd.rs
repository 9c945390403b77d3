//! Misbehaving clients beside the regular ones: idle clients, clients that send single bytes, clients that
//! flood the server with notifications, and clients that read no responses. Each reconnects when its
//! connection is closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two rounds over all connections of a kind.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// The beginning of a request, of which a client that sends single bytes sends one byte each round.
const REQUEST_START: &[u8] = b"\x94\x00\x01\xda\xff\xff";
/// A notification that the server does not know, of which a flooding client sends many each round.
const NOTIFICATION: &[u8] = b"\x93\x02\xa4none\x90";
const NOTIFICATIONS_PER_ROUND: usize = 200;
/// A health check, of which a client that reads no responses sends several each round.
const HEALTH_CHECK: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";
const HEALTH_CHECKS_PER_ROUND: usize = 8;

/// Numbers of connections of misbehaving clients, by behavior.
#[derive(Clone, Copy, Debug)]
pub struct CrowdSize {
    pub idle: usize,
    pub single_byte: usize,
    pub flooding: usize,
    pub reading_nothing: usize,
}

/// The behavior of a misbehaving client in each round.
#[derive(Clone, Copy)]
enum Behavior {
    Idle,
    SendSingleBytes,
    Flood,
    ReadNothing,
}

/// Running misbehaving clients, which stop on drop.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts misbehaving clients of the server at an address.
    pub fn start(address: SocketAddr, size: CrowdSize) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let kinds = [
            (Behavior::Idle, size.idle),
            (Behavior::SendSingleBytes, size.single_byte),
            (Behavior::Flood, size.flooding),
            (Behavior::ReadNothing, size.reading_nothing),
        ];
        let start = |(behavior, count)| {
            let is_over = is_over.clone();
            std::thread::spawn(move || keep_connections(address, behavior, count, &is_over))
        };
        let threads = kinds.into_iter().map(start).collect();
        Crowd { is_over, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// A connection of a misbehaving client.
struct MisbehavingClient {
    stream: TcpStream,
    sent: usize,
}

/// Keeps `count` connections open, and replaces those that the server closes.
fn keep_connections(address: SocketAddr, behavior: Behavior, count: usize, is_over: &AtomicBool) {
    let mut clients: Vec<MisbehavingClient> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        clients.retain_mut(|client| client.act(behavior));
        // If no server listens, the next round tries again.
        let missing = count - clients.len();
        clients.extend((0..missing).map_while(|_| MisbehavingClient::connect(address)));
        std::thread::sleep(ROUND_INTERVAL);
    }
}

impl MisbehavingClient {
    fn connect(address: SocketAddr) -> Option<MisbehavingClient> {
        const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(MisbehavingClient { stream, sent: 0 })
    }

    /// Acts by the behavior for one round; returns whether the connection is still open.
    fn act(&mut self, behavior: Behavior) -> bool {
        match behavior {
            Behavior::Idle => self.is_open(),
            Behavior::SendSingleBytes => {
                let byte = REQUEST_START.get(self.sent).copied().unwrap_or(b'a');
                self.sent += 1;
                self.is_open() && self.write(&[byte])
            }
            Behavior::Flood => self.is_open() && self.write(&NOTIFICATION.repeat(NOTIFICATIONS_PER_ROUND)),
            Behavior::ReadNothing => self.write(&HEALTH_CHECK.repeat(HEALTH_CHECKS_PER_ROUND)),
        }
    }

    /// Reads the bytes that have arrived, and returns whether the connection is open.
    fn is_open(&mut self) -> bool {
        let read = self.stream.read(&mut [0; 4096]);
        match read {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Writes as many bytes as the connection takes, and returns whether it is open.
    fn write(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write(bytes);
        match written {
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}
