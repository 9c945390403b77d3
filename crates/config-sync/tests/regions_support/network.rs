//! Connections in virtual time. Messages arrive in order, with the latency of the route, jitter, and a
//! bounded rate per connection and per process. A cut loses all messages in transit and all later ones,
//! without notice to either end.

use super::faults::FaultKind;
use super::topology::{Micros, Node, one_way};
use dunlinspread_config_sync::message::{ToClient, ToServer};
use dunlinspread_config_sync::resource::Position;
use dunlinspread_config_sync::size::{resource_bytes, transaction_bytes};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bytes per second of a connection.
const CONNECTION_RATE: u64 = 12_500_000;
/// Bytes per second of a process.
const PROCESS_RATE: u64 = 125_000_000;
pub const SLOW_RATE: u64 = 100_000;
const SLOW_LATENCY: Micros = 300_000;
/// Overhead of a message in bytes: length, version and tag of a frame, and the headers of the lower layers.
const FRAME_BYTES: usize = 37 + 66;
/// Time after which the operating system closes a connection without acknowledgements.
const KEEPALIVE: Micros = 15_000_000;
/// Number of unsent bytes above which the backlog is reported to the server.
const REPORTED_BACKLOG: u64 = 64 * 1024;

/// Identifier of a connection, also used as its session number.
pub type ConnectionId = u64;

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(Node),
    Attempt(ConnectionId),
    Connected(ConnectionId),
    ConnectFailed(ConnectionId),
    ToClient(ConnectionId, Arc<ToClient>),
    ToServer(ConnectionId, ToServer),
    ClosedForClient(ConnectionId),
    ClosedForServer(ConnectionId),
    /// All bytes for the client have been sent.
    Drained(ConnectionId),
    /// The publisher's disk holds all transactions up to this position. The number is the publisher's start
    /// count, by which events of an earlier process are recognized.
    Durable(u64, Position),
    /// A subscriber's owner confirms a position: subscriber number, its start count, position.
    Applied(usize, u64, Position),
    Propose,
    Fault(FaultKind),
    Start(Node),
    /// A region is reachable again: region, duration of the cut.
    Heal(usize, Micros),
    SpeedUp(ConnectionId),
}

/// One direction of a connection.
#[derive(Debug, Default)]
struct Lane {
    free_at: Micros,
    last_arrival: Micros,
}

#[derive(Debug)]
pub struct Connection {
    pub client: Node,
    pub server: Node,
    pub client_open: bool,
    pub server_open: bool,
    /// Set when the connection no longer carries messages.
    pub dead: bool,
    slow: bool,
    up: Lane,
    down: Lane,
    lost_bytes: u64,
}

impl Connection {
    pub fn touches(&self, node: Node) -> bool {
        (self.client_open && self.client == node) || (self.server_open && self.server == node)
    }

    fn rate(&self) -> u64 {
        if self.slow { SLOW_RATE } else { CONNECTION_RATE }
    }
}

pub struct Network {
    pub now: Micros,
    pub rng: ChaCha8Rng,
    queue: BTreeMap<(Micros, u64), Event>,
    pub connections: BTreeMap<ConnectionId, Connection>,
    process_free_at: BTreeMap<Node, Micros>,
    pub cut: Vec<usize>,
    next_number: u64,
    pub bytes: u64,
}

fn client_bytes(message: &ToClient) -> usize {
    FRAME_BYTES
        + match message {
            ToClient::Deltas(transactions) => transactions.iter().map(|one| transaction_bytes(one)).sum(),
            ToClient::Piece { buckets, .. } => {
                buckets.iter().flat_map(|bucket| &bucket.resources).map(resource_bytes).sum::<usize>()
            }
            _ => 32,
        }
}

fn server_bytes(message: &ToServer) -> usize {
    FRAME_BYTES
        + match message {
            ToServer::Watch { .. } => 96,
            ToServer::FetchDifferences { bucket_digests } => bucket_digests.len() * 8,
            ToServer::Alive | ToServer::PieceTaken { .. } => 8,
            ToServer::Progress { zones, .. } => zones.len() * 40,
        }
}

impl Network {
    pub fn new(rng: ChaCha8Rng) -> Network {
        Network {
            now: 0,
            rng,
            queue: BTreeMap::new(),
            connections: BTreeMap::new(),
            process_free_at: BTreeMap::new(),
            cut: Vec::new(),
            next_number: 0,
            bytes: 0,
        }
    }

    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.next_number += 1;
        self.queue.insert((at.max(self.now), self.next_number), event);
    }

    pub fn after(&mut self, delay: Micros, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Removes and returns the next event up to `end` and advances the time to it.
    pub fn pop(&mut self, end: Micros) -> Option<Event> {
        let (&(at, _), _) = self.queue.first_key_value()?;
        if at > end {
            return None;
        }
        self.now = at;
        self.queue.pop_first().map(|(_, event)| event)
    }

    /// Returns whether two regions can reach each other.
    pub fn are_connected(&self, first: usize, second: usize) -> bool {
        first == second || !(self.cut.contains(&first) || self.cut.contains(&second))
    }

    pub fn connect(&mut self, client: Node, server: Node) -> ConnectionId {
        self.next_number += 1;
        let id = self.next_number;
        let dead = !self.are_connected(client.region(), server.region());
        let connection = Connection {
            client,
            server,
            client_open: true,
            server_open: false,
            dead,
            slow: false,
            up: Lane::default(),
            down: Lane::default(),
            lost_bytes: 0,
        };
        self.connections.insert(id, connection);
        self.schedule_at_server(id, FRAME_BYTES, Event::Attempt(id));
        id
    }

    pub fn send_to_server(&mut self, id: ConnectionId, message: ToServer) {
        self.schedule_at_server(id, server_bytes(&message), Event::ToServer(id, message));
    }

    /// Sends a message to the client; returns the backlog in bytes if it is to be reported.
    pub fn send_to_client(&mut self, id: ConnectionId, message: Arc<ToClient>) -> Option<usize> {
        let backlog = self.schedule_at_client(id, client_bytes(&message), Event::ToClient(id, message));
        (backlog > REPORTED_BACKLOG).then_some(backlog as usize)
    }

    pub fn schedule_at_server(&mut self, id: ConnectionId, bytes: usize, event: Event) {
        self.send(id, bytes as u64, event, true);
    }

    /// Schedules an event at the client; returns the backlog in bytes.
    pub fn schedule_at_client(&mut self, id: ConnectionId, bytes: usize, event: Event) -> u64 {
        self.send(id, bytes as u64, event, false)
    }

    fn send(&mut self, id: ConnectionId, bytes: u64, event: Event, up: bool) -> u64 {
        let jitter = self.rng.random_range(0..=100);
        let Some(connection) = self.connections.get_mut(&id) else { return 0 };
        if connection.dead {
            connection.lost_bytes += bytes;
            return connection.lost_bytes;
        }
        self.bytes += bytes;
        let rate = connection.rate();
        let (from, to) = (connection.client, connection.server);
        let base = one_way(from, to) + if connection.slow { SLOW_LATENCY } else { 0 };
        let sender = if up { from } else { to };
        let lane = if up { &mut connection.up } else { &mut connection.down };
        let process = self.process_free_at.entry(sender).or_default();
        let begin = self.now.max(*process);
        *process = begin + bytes * 1_000_000 / PROCESS_RATE;
        lane.free_at = lane.free_at.max(begin) + bytes * 1_000_000 / rate;
        lane.last_arrival = lane.last_arrival.max(lane.free_at + base + base * jitter / 1_000);
        let (at, free_at) = (lane.last_arrival, lane.free_at);
        self.schedule(at, event);
        let backlog = (free_at - self.now) * rate / 1_000_000;
        if !up && backlog > REPORTED_BACKLOG {
            self.schedule(free_at, Event::Drained(id));
        }
        backlog
    }

    /// Returns whether no more bytes wait to be sent to the client.
    pub fn is_drained(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| {
            !connection.dead && connection.server_open && connection.down.free_at <= self.now
        })
    }

    fn ids(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        self.connections.iter().filter(|(_, connection)| predicate(connection)).map(|(id, _)| *id).collect()
    }

    /// Ends a process's connections. Messages in transit are lost, and the other ends see the connections
    /// closed if they can be reached.
    pub fn kill(&mut self, node: Node) {
        for id in self.ids(|connection| connection.touches(node)) {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            let was_dead = std::mem::replace(&mut connection.dead, true);
            let latency = one_way(connection.client, connection.server);
            let event = if connection.client == node {
                connection.client_open = false;
                Event::ClosedForServer(id)
            } else {
                connection.server_open = false;
                Event::ClosedForClient(id)
            };
            if !was_dead {
                self.after(latency, event);
            }
        }
    }

    /// Cuts a region off from all others.
    pub fn cut_off(&mut self, region: usize) {
        self.cut.push(region);
        let crosses = |connection: &Connection| {
            let ends = (connection.client.region(), connection.server.region());
            !connection.dead && ends.0 != ends.1 && (ends.0 == region || ends.1 == region)
        };
        for id in self.ids(crosses) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.dead = true;
            }
            self.after(KEEPALIVE, Event::ClosedForServer(id));
        }
    }

    /// Makes one in `share` connections slow for `duration`, or until it ends; returns their number.
    pub fn slow_down(&mut self, share: u32, duration: Micros) -> usize {
        let ids = self.ids(|connection| connection.client_open && connection.server_open);
        let mut count = 0;
        for id in ids {
            if self.rng.random_range(0..share) == 0 {
                count += 1;
                self.set_slow(id, true);
                self.after(duration, Event::SpeedUp(id));
            }
        }
        count
    }

    pub fn set_slow(&mut self, id: ConnectionId, slow: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.slow = slow;
        }
    }
}
