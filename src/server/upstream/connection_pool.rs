//! Idle connections to the upstream service, kept for reuse.

use async_io::Async;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// Idle time past which a connection is not reused, ms. The service closes connections that are idle for 10
/// s.
const MAX_IDLE_MS: f64 = 7000.0;

/// An idle connection.
struct IdleConnection {
    /// Time at which the connection became idle, ms.
    idle_since: f64,
    stream: Async<TcpStream>,
}

/// Idle connections, the longest idle first.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: VecDeque<IdleConnection>,
}

impl ConnectionPool {
    /// Adds a connection that is idle from `now` on.
    pub(super) fn put(&mut self, now: f64, stream: Async<TcpStream>) {
        self.idle.push_back(IdleConnection { idle_since: now, stream });
    }

    /// Takes the most recently used connection that the service has not closed and that has no unread bytes.
    /// Unusable connections met on the way are closed.
    pub(super) fn take(&mut self, now: f64) -> Option<Async<TcpStream>> {
        while let Some(connection) = self.idle.pop_back() {
            if now - connection.idle_since <= MAX_IDLE_MS && is_quiet(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Closes connections that have been idle for too long, and further ones until at most `max_idle` are
    /// left.
    pub(super) fn trim(&mut self, now: f64, max_idle: usize) {
        let is_expired = |connection: &IdleConnection| now - connection.idle_since > MAX_IDLE_MS;
        while self.idle.front().is_some_and(is_expired) || self.idle.len() > max_idle {
            self.idle.pop_front();
        }
    }

    /// Closes all connections.
    pub(super) fn clear(&mut self) {
        self.idle.clear();
    }
}

/// Returns whether a connection is open and has no unread bytes.
fn is_quiet(stream: &Async<TcpStream>) -> bool {
    matches!(stream.get_ref().read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}
