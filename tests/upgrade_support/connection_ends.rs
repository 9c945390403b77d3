//! When the ends of connections come to this system: a thread of its own is told by the system, as clients under load read
//! late.
//!
//! A connection that is watched is not held open by it: the system's list of watched sockets (`epoll`) counts as no
//! descriptor of a socket, so that a client's close is one at once.

use dunlinspread_fakes::unix_ms;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::fd::OwnedFd;
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};

/// Ends that are read at once.
const EVENTS_AT_ONCE: usize = 64;
/// Connections beyond which those that nobody asks for are forgotten.
const FEW_CONNECTIONS: usize = 64;
/// Stands for an end that has not come.
const NOT_ENDED: u64 = 0;

/// The end of one connection.
pub struct ConnectionEnd(Arc<AtomicU64>);

impl ConnectionEnd {
    /// Watches for the server's end of a connection, until the connection is dropped.
    ///
    /// # Errors
    /// If the system can't watch it.
    pub fn watch(stream: &TcpStream) -> io::Result<ConnectionEnd> {
        let watcher = watcher()?;
        let end = Arc::new(AtomicU64::new(NOT_ENDED));
        let number = watcher.ends().add(&end);
        let flags = EventFlags::RDHUP | EventFlags::ONESHOT;
        epoll::add(&watcher.sockets, stream, EventData::new_u64(number), flags)?;
        Ok(ConnectionEnd(end))
    }

    /// Returns when the end came, Unix ms; `None` if it has not come, or came right now.
    pub fn came_at_ms(&self) -> Option<u64> {
        let at_ms = self.0.load(Ordering::Relaxed);
        (at_ms != NOT_ENDED).then_some(at_ms)
    }
}

/// The watcher stands still until this is dropped: it takes note of no end.
pub struct StandingStill {
    _ends: MutexGuard<'static, WatchedEnds>,
}

/// Has the watcher stand still.
///
/// # Errors
/// If there is none.
pub fn stand_still() -> io::Result<StandingStill> {
    Ok(StandingStill { _ends: watcher()?.ends() })
}

/// The ends of the connections that are watched, by number.
#[derive(Default)]
struct WatchedEnds {
    last_number: u64,
    by_number: HashMap<u64, Weak<AtomicU64>>,
    /// The number of ends at which those that nobody asks for are forgotten.
    tidy_at: usize,
}

impl WatchedEnds {
    fn add(&mut self, end: &Arc<AtomicU64>) -> u64 {
        if self.by_number.len() >= self.tidy_at {
            self.by_number.retain(|_, end| end.strong_count() > 0);
            self.tidy_at = FEW_CONNECTIONS + 2 * self.by_number.len();
        }
        self.last_number += 1;
        self.by_number.insert(self.last_number, Arc::downgrade(end));
        self.last_number
    }

    fn note_end(&mut self, number: u64, at_ms: u64) {
        if let Some(end) = self.by_number.remove(&number).and_then(|end| end.upgrade()) {
            end.store(at_ms, Ordering::Relaxed);
        }
    }
}

/// What the thread and the clients share.
struct Watcher {
    /// The system's list of watched sockets.
    sockets: OwnedFd,
    ends: Mutex<WatchedEnds>,
}

impl Watcher {
    fn ends(&self) -> MutexGuard<'_, WatchedEnds> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of the ends of all watched connections, without end.
    fn watch(&self) {
        let mut events = Vec::with_capacity(EVENTS_AT_ONCE);
        loop {
            // What an interrupted wait misses, the next one finds.
            let _ = epoll::wait(&self.sockets, rustix::buffer::spare_capacity(&mut events), None);
            let now_ms = unix_ms();
            let mut ends = self.ends();
            events.drain(..).for_each(|event| ends.note_end(event.data.u64(), now_ms));
        }
    }
}

/// Returns the watcher; the first call starts its thread.
fn watcher() -> io::Result<&'static Watcher> {
    static WATCHER: OnceLock<Watcher> = OnceLock::new();
    static STARTED: OnceLock<()> = OnceLock::new();
    if WATCHER.get().is_none() {
        let sockets = epoll::create(CreateFlags::CLOEXEC)?;
        // Another thread may have been first; then this list is dropped.
        let _ = WATCHER.set(Watcher { sockets, ends: Mutex::default() });
    }
    let watcher = WATCHER.get().expect("it was set");
    STARTED.get_or_init(|| {
        let thread = std::thread::Builder::new().name("connection ends".to_owned());
        thread.spawn(|| watcher.watch()).expect("a thread");
    });
    Ok(watcher)
}
