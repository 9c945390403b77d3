//! Bad clients beside the good ones: idle, dripping, flooding, and reading nothing. Each connects again when it is closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two looks at all connections of a kind.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);
/// The beginning of a request, of which a dripping client sends one byte at a look.
const DRIPPED: &[u8] = b"\x94\x00\x01\xda\xff\xff";
/// What a flooding client sends at a look: notifications that nobody knows.
const NOTIFICATION: &[u8] = b"\x93\x02\xa4none\x90";
const NOTIFICATIONS_IN_A_LOOK: usize = 200;
/// What a client that reads nothing sends at a look: health checks.
const HEALTH_CHECK: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";
const HEALTH_CHECKS_IN_A_LOOK: usize = 8;

/// How many connections a crowd holds, by what they do.
#[derive(Clone, Copy, Debug)]
pub struct CrowdSize {
    pub idle: usize,
    pub dripping: usize,
    pub flooding: usize,
    pub reading_nothing: usize,
}

/// What a bad client does at each look.
#[derive(Clone, Copy)]
enum Habit {
    Idle,
    Drip,
    Flood,
    ReadNothing,
}

/// A running crowd; it leaves when this is dropped.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a crowd.
    pub fn start(address: SocketAddr, size: CrowdSize) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let kinds = [
            (Habit::Idle, size.idle),
            (Habit::Drip, size.dripping),
            (Habit::Flood, size.flooding),
            (Habit::ReadNothing, size.reading_nothing),
        ];
        let start = |(habit, count)| {
            let is_over = is_over.clone();
            std::thread::spawn(move || keep_connections(address, habit, count, &is_over))
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

/// A connection of a bad client.
struct BadClient {
    stream: TcpStream,
    sent: usize,
}

/// Holds so many connections, and opens others for those that the server closes.
fn keep_connections(address: SocketAddr, habit: Habit, count: usize, is_over: &AtomicBool) {
    let mut clients: Vec<BadClient> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        clients.retain_mut(|client| client.act(habit));
        // Without a server there is nobody to connect to; the next look tries again.
        let missing = count - clients.len();
        clients.extend((0..missing).map_while(|_| BadClient::connect(address)));
        std::thread::sleep(LOOK_INTERVAL);
    }
}

impl BadClient {
    fn connect(address: SocketAddr) -> Option<BadClient> {
        const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(BadClient { stream, sent: 0 })
    }

    /// Does what the habit asks at a look; returns whether the connection still stands.
    fn act(&mut self, habit: Habit) -> bool {
        match habit {
            Habit::Idle => self.stands(),
            Habit::Drip => {
                let byte = DRIPPED.get(self.sent).copied().unwrap_or(b'a');
                self.sent += 1;
                self.stands() && self.write(&[byte])
            }
            Habit::Flood => self.stands() && self.write(&NOTIFICATION.repeat(NOTIFICATIONS_IN_A_LOOK)),
            Habit::ReadNothing => self.write(&HEALTH_CHECK.repeat(HEALTH_CHECKS_IN_A_LOOK)),
        }
    }

    /// Reads what has come, and returns whether the connection has not ended.
    fn stands(&mut self) -> bool {
        let read = self.stream.read(&mut [0; 4096]);
        match read {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Writes what the connection takes, and returns whether it stands.
    fn write(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write(bytes);
        match written {
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}
