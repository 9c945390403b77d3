//! Connections in virtual time. Messages of one connection arrive in order; those of different connections
//! arrive in any order. The test breaks connections.

use dunlinspread_config_sync::message::{ToClient, ToServer};
use dunlinspread_config_sync::resource::{Millis, Position};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Publisher,
    Relay(usize),
    Subscriber(usize),
}

/// Identifier of a connection, also used as its session number.
pub type ConnectionId = u64;

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection attempt arrives at the server.
    Attempt(ConnectionId),
    Connected(ConnectionId),
    ConnectFailed(ConnectionId),
    ReceivedByClient(ConnectionId, Arc<ToClient>),
    ReceivedByServer(ConnectionId, ToServer),
    ClosedForClient(ConnectionId),
    ClosedForServer(ConnectionId),
    /// The publisher's store holds all transactions up to this position. The number is the publisher's start
    /// count, by which events of an earlier process are recognized.
    Durable(u64, Position),
    /// A subscriber's owner confirms a position: subscriber number, its start count, position.
    Applied(usize, u64, Position),
    Propose,
    Fault,
}

/// The two ends of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub client: Node,
    pub server: Node,
    /// Arrival time of the last message to the server.
    last_up: Millis,
    last_down: Millis,
    /// Set when the connection no longer carries messages; the ends may not have noticed.
    stopped: bool,
}

/// The event queue and the connections.
pub struct Network {
    pub now: Millis,
    pub rng: ChaCha8Rng,
    queue: BTreeMap<(Millis, u64), Event>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Servers that refuse connections, each with the time at which that ends.
    cut_until: BTreeMap<Node, Millis>,
    next_number: u64,
}

impl Network {
    pub fn new(rng: ChaCha8Rng) -> Network {
        Network {
            now: 0,
            rng,
            queue: BTreeMap::new(),
            connections: BTreeMap::new(),
            cut_until: BTreeMap::new(),
            next_number: 0,
        }
    }

    pub fn next_at(&self) -> Option<Millis> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next event if it is due.
    pub fn pop(&mut self) -> Option<Event> {
        if self.next_at()? > self.now {
            return None;
        }
        self.queue.pop_first().map(|(_, event)| event)
    }

    pub fn schedule(&mut self, at: Millis, event: Event) {
        self.next_number += 1;
        self.queue.insert((at.max(self.now), self.next_number), event);
    }

    /// Returns a random latency, usually short and sometimes long, so that sessions overtake each other.
    fn latency(&mut self) -> Millis {
        if self.rng.random_range(0..20) == 0 {
            self.rng.random_range(50..500)
        } else {
            self.rng.random_range(1..30)
        }
    }

    pub fn get(&self, id: ConnectionId) -> Option<Connection> {
        self.connections.get(&id).copied()
    }

    /// Returns whether the connection still carries messages.
    pub fn carries(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| !connection.stopped)
    }

    pub fn connect(&mut self, client: Node, server: Node) -> ConnectionId {
        self.next_number += 1;
        let id = self.next_number;
        let (last_up, last_down) = (self.now, self.now);
        let connection = Connection { client, server, last_up, last_down, stopped: false };
        self.connections.insert(id, connection);
        self.send_to_server(id, Event::Attempt(id));
        id
    }

    pub fn accepts(&self, server: Node) -> bool {
        self.cut_until.get(&server).is_none_or(|until| *until <= self.now)
    }

    /// Schedules an event at the server after all earlier ones of the connection.
    pub fn send_to_server(&mut self, id: ConnectionId, event: Event) {
        let latency = self.latency();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_up = connection.last_up.max(self.now + latency);
        let at = connection.last_up;
        self.schedule(at, event);
    }

    /// Schedules an event at the client after all earlier ones of the connection.
    pub fn send_to_client(&mut self, id: ConnectionId, event: Event) {
        let latency = self.latency();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_down = connection.last_down.max(self.now + latency);
        let at = connection.last_down;
        self.schedule(at, event);
    }

    /// Breaks a connection: messages in transit are lost and both ends see it closed.
    pub fn break_off(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stopped = true;
            self.schedule(self.now, Event::ClosedForClient(id));
            self.schedule(self.now, Event::ClosedForServer(id));
        }
    }

    /// Makes a connection lose all messages without notice to either end.
    pub fn stop(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stopped = true;
        }
    }

    /// Returns all connections that end at `node`.
    pub fn of(&self, node: Node) -> BTreeSet<ConnectionId> {
        let ends_at_node = |connection: &Connection| connection.client == node || connection.server == node;
        self.connections
            .iter()
            .filter(|(_, connection)| ends_at_node(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn all(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    pub fn forget(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    pub fn cut(&mut self, server: Node, until: Millis) {
        self.cut_until.insert(server, until);
    }

    pub fn heal(&mut self) {
        self.cut_until.clear();
    }
}
