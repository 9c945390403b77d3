//! The table of open connections and their tasks, which enforces the limit on their number.

use super::connection::Connection;
use super::connection_state::ConnectionPolicy;
use super::connection_task;
use super::context::FrontendContext;
use crate::server::fault_injection::{self, StopPoint};
use crate::server::messages::ListenerMessage;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use std::collections::HashMap;
use std::net::TcpStream;
use std::rc::Rc;

/// The connection limit divided by this is the reserve of connections that closing idle ones keeps free.
const RESERVE_DIVISOR: usize = 8;

/// Whether an idle connection is evicted when one is added past the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// An idle connection is evicted.
    Allowed,
    /// No connection is evicted.
    Deferred,
}

/// A connection and its task. Dropping the entry ends the task.
struct Entry {
    connection: Rc<Connection>,
    _task: Task<()>,
}

/// The open connections.
pub(super) struct ConnectionTable {
    context: Rc<FrontendContext>,
    /// Queue of the listener, to which the end of each connection's task is reported.
    closed: Sender<ListenerMessage>,
    executor: Rc<LocalExecutor<'static>>,
    max_connections: usize,
    last_number: u64,
    entries: HashMap<u64, Entry>,
}

impl ConnectionTable {
    /// Returns an empty table.
    pub(super) fn new(
        context: Rc<FrontendContext>,
        closed: Sender<ListenerMessage>,
        executor: Rc<LocalExecutor<'static>>,
        max_connections: usize,
    ) -> ConnectionTable {
        ConnectionTable {
            context,
            closed,
            executor,
            max_connections,
            last_number: 0,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no connection is open.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether another connection may be added.
    pub(super) fn has_capacity(&self) -> bool {
        self.len() < self.max_connections
    }

    /// Adds a connection and starts its task.
    pub(super) fn add(&mut self, now: f64, stream: TcpStream, eviction: Eviction) {
        let Ok(stream) = Async::new(stream) else { return };
        let stream = Rc::new(stream);
        self.last_number += 1;
        let (connection, responses) = Connection::new(now, &stream);
        let connection = Rc::new(connection);
        let task = {
            let (connection, context) = (connection.clone(), self.context.clone());
            let (closed, number) = (self.closed.clone(), self.last_number);
            self.executor.spawn(async move {
                let serving = connection_task::serve(&connection, &context, stream, responses);
                context.task_times.measure("connection", serving).await;
                // The listener's queue closes only at the end of the process.
                let _ = closed.send(ListenerMessage::ConnectionClosed(number)).await;
            })
        };
        self.entries.insert(self.last_number, Entry { connection, _task: task });
        fault_injection::maybe_stop(StopPoint::ConnectionAccepted);
        if !self.exceeds_eviction_threshold() {
            return;
        }
        if eviction == Eviction::Allowed {
            self.evict(now, 1);
        }
        self.context.client_log.near_limit(now, self.len(), self.max_connections);
    }

    /// Removes a connection and ends its task.
    pub(super) fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    /// Excludes a stall of the event loop from the times of all connections.
    pub(super) fn exclude_stall(&self, stalled_ms: f64) {
        for entry in self.entries.values() {
            entry.connection.state.borrow_mut().exclude_stall(stalled_ms);
        }
    }

    /// Advances all connections to `now`. While there are too many to keep the reserve free, lingering
    /// connections are dropped early and idle ones are evicted.
    pub(super) fn sweep(&mut self, now: f64, policy: ConnectionPolicy) {
        if self.exceeds_eviction_threshold() {
            self.drop_lingering(now);
            let is_leaving = |entry: &&Entry| entry.connection.state.borrow().is_leaving();
            let staying = self.len() - self.entries.values().filter(is_leaving).count();
            self.evict(now, staying.saturating_sub(self.eviction_threshold()));
        }
        for entry in self.entries.values() {
            entry.connection.advance(now, policy);
        }
    }

    /// Returns the number of connections up to which the reserve is free and none is evicted.
    fn eviction_threshold(&self) -> usize {
        self.max_connections - self.max_connections / RESERVE_DIVISOR
    }

    fn exceeds_eviction_threshold(&self) -> bool {
        self.len() > self.eviction_threshold()
    }

    fn drop_lingering(&mut self, now: f64) {
        self.entries.retain(|_, entry| {
            let may_stop_lingering = entry.connection.state.borrow().may_stop_lingering(now);
            !(entry.connection.is_lingering.get() && may_stop_lingering)
        });
    }

    /// Evicts up to `count` idle connections, those of the lowest rank first, so that clients that open
    /// hundreds of connections, or send one request and stay connected, don't keep others out. A connection
    /// with unread bytes is skipped.
    fn evict(&self, now: f64, count: usize) {
        let rank = |entry: &Entry| Some((entry.connection.eviction_rank(now)?, entry.connection.clone()));
        let mut ranked: Vec<_> = self.entries.values().filter_map(rank).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut evicted = 0;
        for (_, connection) in ranked {
            if evicted == count {
                return;
            }
            evicted += usize::from(connection.try_evict(now));
        }
    }
}
