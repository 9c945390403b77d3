//! Connections in virtual time: in order within one, in any order between them, and broken as the test says.

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

/// A connection, which is also the number of its session.
pub type ConnectionId = u64;

/// What happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The attempt to connect arrives at the server.
    Attempt(ConnectionId),
    Connected(ConnectionId),
    ConnectFailed(ConnectionId),
    ReceivedByClient(ConnectionId, Arc<ToClient>),
    ReceivedByServer(ConnectionId, ToServer),
    ClosedForClient(ConnectionId),
    ClosedForServer(ConnectionId),
    /// The store of the publisher that was started so many times holds all up to this position.
    Durable(u64, Position),
    /// The owner of a subscriber that was started so many times confirms.
    Applied(usize, u64, Position),
    Propose,
    Fault,
}

/// The two ends of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub client: Node,
    pub server: Node,
    /// When what was sent last to the server arrives there.
    last_up: Millis,
    last_down: Millis,
    /// Nothing arrives any more; the ends may not know.
    stopped: bool,
}

/// The events to come, and the connections.
pub struct Network {
    pub now: Millis,
    pub rng: ChaCha8Rng,
    queue: BTreeMap<(Millis, u64), Event>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Servers that accept nothing until a time.
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

    /// The next event, if its time has come.
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

    /// Mostly short, now and then long, so that sessions overtake each other.
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

    /// Whether messages on it still arrive.
    pub fn carries(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| !connection.stopped)
    }

    pub fn connect(&mut self, client: Node, server: Node) -> ConnectionId {
        self.next_number += 1;
        let id = self.next_number;
        let (last_up, last_down) = (self.now, self.now);
        let connection = Connection { client, server, last_up, last_down, stopped: false };
        self.connections.insert(id, connection);
        self.up(id, Event::Attempt(id));
        id
    }

    pub fn accepts(&self, server: Node) -> bool {
        self.cut_until.get(&server).is_none_or(|until| *until <= self.now)
    }

    /// Towards the server, after all that was sent there before.
    pub fn up(&mut self, id: ConnectionId, event: Event) {
        let latency = self.latency();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_up = connection.last_up.max(self.now + latency);
        let at = connection.last_up;
        self.schedule(at, event);
    }

    /// Towards the client, after all that was sent there before.
    pub fn down(&mut self, id: ConnectionId, event: Event) {
        let latency = self.latency();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_down = connection.last_down.max(self.now + latency);
        let at = connection.last_down;
        self.schedule(at, event);
    }

    /// What is on its way is lost, and both ends learn it.
    pub fn break_off(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stopped = true;
            self.schedule(self.now, Event::ClosedForClient(id));
            self.schedule(self.now, Event::ClosedForServer(id));
        }
    }

    /// What is on its way is lost, and neither end learns it.
    pub fn stop(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stopped = true;
        }
    }

    /// All connections that end at `node`.
    pub fn of(&self, node: Node) -> BTreeSet<ConnectionId> {
        let at = |connection: &Connection| connection.client == node || connection.server == node;
        self.connections.iter().filter(|(_, connection)| at(connection)).map(|(id, _)| *id).collect()
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
