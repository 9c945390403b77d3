//! Connections to the upstream service that are kept between calls.

use async_io::Async;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// Age past which a connection is not used again, ms. The service closes connections that are idle for 10 s.
const MAX_IDLE_MS: f64 = 7000.0;

/// A connection and when it became idle, ms.
struct IdleConnection {
    since: f64,
    stream: Async<TcpStream>,
}

/// Idle connections, the longest idle first.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: VecDeque<IdleConnection>,
}

impl ConnectionPool {
    /// Keeps a connection from `now` on.
    pub(super) fn put(&mut self, now: f64, stream: Async<TcpStream>) {
        self.idle.push_back(IdleConnection { since: now, stream });
    }

    /// Takes a connection that the service has not closed and that has nothing left to read. Those found otherwise are
    /// closed.
    pub(super) fn take(&mut self, now: f64) -> Option<Async<TcpStream>> {
        while let Some(connection) = self.idle.pop_back() {
            if now - connection.since <= MAX_IDLE_MS && is_quiet(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Closes connections that are too old, and further ones until at most `max_idle` are left.
    pub(super) fn trim(&mut self, now: f64, max_idle: usize) {
        let is_too_old = |connection: &IdleConnection| now - connection.since > MAX_IDLE_MS;
        while self.idle.front().is_some_and(is_too_old) || self.idle.len() > max_idle {
            self.idle.pop_front();
        }
    }

    /// Closes all connections.
    pub(super) fn clear(&mut self) {
        self.idle.clear();
    }
}

/// Returns whether a connection is open and has nothing to read.
fn is_quiet(stream: &Async<TcpStream>) -> bool {
    matches!(stream.get_ref().read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}
