//! The open connections of the control endpoint.
//!
//! # Invariants
//! There are never more than the limit. A connection with an answer on its way is not closed for a new one.

use super::connection::Connection;
use crate::server::serving_status::ServingStatus;
use std::time::Instant;

/// The open connections, the oldest first.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: Vec<Connection>,
    max_connections: usize,
}

impl ConnectionTable {
    /// Returns an empty table for at most `max_connections`.
    pub(super) fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable { connections: Vec::new(), max_connections }
    }

    /// Returns the connections, the oldest first.
    pub(super) fn connections(&self) -> &[Connection] {
        &self.connections
    }

    /// Returns whether a new connection can be taken.
    pub(super) fn can_take(&self) -> bool {
        self.connections.len() < self.max_connections
            || self.connections.iter().any(|connection| !connection.owes_answer())
    }

    /// Advances the connections whose events came, given in the order of the table, or whose time is up.
    pub(super) fn advance(&mut self, has_event: &[bool], now: Instant, status: &ServingStatus) {
        for (connection, has_event) in self.connections.iter_mut().zip(has_event) {
            if *has_event || connection.deadline() <= now {
                connection.advance(now, status);
            }
        }
        self.connections.retain(|connection| !connection.is_closed());
    }

    /// Takes a new connection, in place of the oldest one without an answer on its way if the table is full. The new
    /// one is dropped if there is none.
    pub(super) fn take(&mut self, mut connection: Connection, now: Instant, status: &ServingStatus) {
        // Its call may have come with it.
        connection.advance(now, status);
        if connection.is_closed() || !self.make_room(now, status) {
            return;
        }
        self.connections.push(connection);
    }

    /// Closes connections until there is room for one more, and returns whether there is.
    fn make_room(&mut self, now: Instant, status: &ServingStatus) -> bool {
        while self.connections.len() >= self.max_connections {
            let oldest = self.connections.iter().position(|connection| !connection.owes_answer());
            let Some(oldest) = oldest else { return false };
            // Its call may have come since it was last read.
            self.connections[oldest].advance(now, status);
            if !self.connections[oldest].owes_answer() {
                self.connections.remove(oldest);
            }
        }
        true
    }
}
