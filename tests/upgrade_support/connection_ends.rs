//! The times at which the ends of connections arrive. A separate thread receives them from the operating
//! system, because clients under load read late.
//!
//! Watching a connection does not keep it open: an entry in the `epoll` set is not a descriptor of the
//! socket, so that a client's close takes effect at once.

use dunlinspread_fakes::unix_ms;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::fd::OwnedFd;
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};

/// Maximum number of ends that are read at once.
const EVENTS_AT_ONCE: usize = 64;
/// Number of connections above which entries without an owner are removed.
const FEW_CONNECTIONS: usize = 64;
/// The value for a connection that has not ended.
const NOT_ENDED: u64 = 0;

/// The end of one connection.
pub struct ConnectionEnd(Arc<AtomicU64>);

impl ConnectionEnd {
    /// Watches for the server's end of a connection, until the connection is dropped.
    ///
    /// # Errors
    /// Returns the operating system's error if the connection can't be watched.
    pub fn watch(stream: &TcpStream) -> io::Result<ConnectionEnd> {
        let watcher = watcher()?;
        let end = Arc::new(AtomicU64::new(NOT_ENDED));
        let number = watcher.ends().add(&end);
        let flags = EventFlags::RDHUP | EventFlags::ONESHOT;
        epoll::add(&watcher.sockets, stream, EventData::new_u64(number), flags)?;
        Ok(ConnectionEnd(end))
    }

    /// Returns the time at which the end arrived, Unix ms; `None` if it has not arrived or is not recorded
    /// yet.
    pub fn ended_at_ms(&self) -> Option<u64> {
        let at_ms = self.0.load(Ordering::Relaxed);
        (at_ms != NOT_ENDED).then_some(at_ms)
    }
}

/// Pauses the watcher until dropped: meanwhile it records no end.
pub struct WatcherPause {
    _ends: MutexGuard<'static, WatchedEnds>,
}

/// Pauses the watcher until the returned value is dropped.
///
/// # Errors
/// Returns the operating system's error if the watcher can't be created.
pub fn pause_watcher() -> io::Result<WatcherPause> {
    Ok(WatcherPause { _ends: watcher()?.ends() })
}

/// The watched connections, by number.
#[derive(Default)]
struct WatchedEnds {
    last_number: u64,
    by_number: HashMap<u64, Weak<AtomicU64>>,
    /// Number of entries at which those without an owner are removed.
    cleanup_at: usize,
}

impl WatchedEnds {
    fn add(&mut self, end: &Arc<AtomicU64>) -> u64 {
        if self.by_number.len() >= self.cleanup_at {
            self.by_number.retain(|_, end| end.strong_count() > 0);
            self.cleanup_at = FEW_CONNECTIONS + 2 * self.by_number.len();
        }
        self.last_number += 1;
        self.by_number.insert(self.last_number, Arc::downgrade(end));
        self.last_number
    }

    fn record_end(&mut self, number: u64, at_ms: u64) {
        if let Some(end) = self.by_number.remove(&number).and_then(|end| end.upgrade()) {
            end.store(at_ms, Ordering::Relaxed);
        }
    }
}

/// The state that the watcher thread and the clients share.
struct Watcher {
    /// The `epoll` set of watched sockets.
    sockets: OwnedFd,
    ends: Mutex<WatchedEnds>,
}

impl Watcher {
    fn ends(&self) -> MutexGuard<'_, WatchedEnds> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the ends of all watched connections; never returns.
    fn watch(&self) {
        let mut events = Vec::with_capacity(EVENTS_AT_ONCE);
        loop {
            // The next wait returns the events that an interrupted one misses.
            let _ = epoll::wait(&self.sockets, rustix::buffer::spare_capacity(&mut events), None);
            let now_ms = unix_ms();
            let mut ends = self.ends();
            events.drain(..).for_each(|event| ends.record_end(event.data.u64(), now_ms));
        }
    }
}

/// Returns the watcher; the first call starts its thread.
fn watcher() -> io::Result<&'static Watcher> {
    static WATCHER: OnceLock<Watcher> = OnceLock::new();
    static STARTED: OnceLock<()> = OnceLock::new();
    if WATCHER.get().is_none() {
        let sockets = epoll::create(CreateFlags::CLOEXEC)?;
        // If another thread was first, this set is dropped.
        let _ = WATCHER.set(Watcher { sockets, ends: Mutex::default() });
    }
    let watcher = WATCHER.get().expect("the watcher was set");
    STARTED.get_or_init(|| {
        let thread = std::thread::Builder::new().name("connection ends".to_owned());
        thread.spawn(|| watcher.watch()).expect("a thread");
    });
    Ok(watcher)
}
