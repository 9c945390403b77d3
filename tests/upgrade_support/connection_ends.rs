//! When the ends of connections come to this system: a thread of its own looks, as clients under load read late.

use dunlinspread_fakes::unix_ms;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Stands for an end that has not come.
const NOT_ENDED: u64 = 0;

/// The end of one connection.
#[derive(Clone, Default)]
pub struct ConnectionEnd(Arc<AtomicU64>);

impl ConnectionEnd {
    /// Watches for the server's end of a connection.
    ///
    /// # Errors
    /// If there is no further descriptor.
    pub fn watch(stream: &TcpStream) -> io::Result<ConnectionEnd> {
        let end = ConnectionEnd::default();
        let watched = Watched { stream: stream.try_clone()?, end: end.clone() };
        watched_connections().lock().unwrap_or_else(PoisonError::into_inner).push(watched);
        Ok(end)
    }

    /// Returns when the end came, Unix ms; `None` if it has not come, or came since the last look.
    pub fn came_at_ms(&self) -> Option<u64> {
        let at_ms = self.0.load(Ordering::Relaxed);
        (at_ms != NOT_ENDED).then_some(at_ms)
    }
}

/// A connection whose end has not come.
struct Watched {
    stream: TcpStream,
    end: ConnectionEnd,
}

impl Watched {
    /// Returns whether a client still wants to know.
    fn is_wanted(&self) -> bool {
        Arc::strong_count(&self.end.0) > 1
    }
}

/// Returns the connections that are watched; the first call starts the thread.
fn watched_connections() -> &'static Mutex<Vec<Watched>> {
    static WATCHED: OnceLock<Mutex<Vec<Watched>>> = OnceLock::new();
    WATCHED.get_or_init(|| {
        std::thread::Builder::new().name("connection ends".to_owned()).spawn(watch).expect("a thread");
        Mutex::default()
    })
}

/// Looks at all watched connections, without end.
fn watch() {
    loop {
        std::thread::sleep(LOOK_INTERVAL);
        let mut watched = watched_connections().lock().unwrap_or_else(PoisonError::into_inner);
        watched.retain(Watched::is_wanted);
        let ended = have_ended(&watched);
        let now_ms = unix_ms();
        let mut ended = ended.into_iter();
        watched.retain(|connection| {
            let has_ended = ended.next().unwrap_or(false);
            if has_ended {
                connection.end.0.store(now_ms, Ordering::Relaxed);
            }
            !has_ended
        });
    }
}

/// Returns for each connection whether the server's end of it has come, read or not.
fn have_ended(watched: &[Watched]) -> Vec<bool> {
    let mut sockets: Vec<_> =
        watched.iter().map(|connection| PollFd::new(&connection.stream, PollFlags::RDHUP)).collect();
    // What an interrupted look misses, the next one finds.
    let _ = poll(&mut sockets, Some(&Timespec::default()));
    sockets
        .iter()
        .map(|socket| socket.revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR))
        .collect()
}
