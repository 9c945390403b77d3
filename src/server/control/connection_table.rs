//! Table of the open connections of the control endpoint.
//!
//! # Invariants
//! The number of connections never exceeds the limit. A connection that is writing its response is not
//! evicted in favour of a new one.

use super::connection::Connection;
use crate::server::serving_status::ServingStatus;
use std::time::Instant;

/// The open connections, oldest first.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: Vec<Connection>,
    max_connections: usize,
}

impl ConnectionTable {
    /// Returns an empty table for at most `max_connections` connections.
    pub(super) fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable { connections: Vec::new(), max_connections }
    }

    /// Returns the connections, oldest first.
    pub(super) fn connections(&self) -> &[Connection] {
        &self.connections
    }

    /// Returns whether a new connection can be accepted: there is room, or a connection that can be evicted.
    pub(super) fn can_accept(&self) -> bool {
        self.connections.len() < self.max_connections
            || self.connections.iter().any(|connection| !connection.is_responding())
    }

    /// Advances the connections that have an event or whose deadline has passed. `has_event` is in the order
    /// of the table.
    pub(super) fn advance(&mut self, has_event: &[bool], now: Instant, status: &ServingStatus) {
        for (connection, has_event) in self.connections.iter_mut().zip(has_event) {
            if *has_event || connection.deadline() <= now {
                connection.advance(now, status);
            }
        }
        self.connections.retain(|connection| !connection.is_closed());
    }

    /// Adds a new connection. If the table is full, the oldest connection that is not writing its response is
    /// evicted; if there is none, the new connection is dropped.
    pub(super) fn insert(&mut self, mut connection: Connection, now: Instant, status: &ServingStatus) {
        // The call may have arrived already.
        connection.advance(now, status);
        if connection.is_closed() || !self.make_room(now, status) {
            return;
        }
        self.connections.push(connection);
    }

    /// Evicts connections until there is room for one more, and returns whether there is.
    fn make_room(&mut self, now: Instant, status: &ServingStatus) -> bool {
        while self.connections.len() >= self.max_connections {
            let oldest = self.connections.iter().position(|connection| !connection.is_responding());
            let Some(oldest) = oldest else { return false };
            // The call may have arrived since the connection was last read.
            self.connections[oldest].advance(now, status);
            if !self.connections[oldest].is_responding() {
                self.connections.remove(oldest);
            }
        }
        true
    }
}
