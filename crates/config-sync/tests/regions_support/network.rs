//! Connections in virtual time: in order, with the latency of the way, jitter, and a bounded rate of each
//! connection and of each process. A cut loses what is on its way without a word to either end.

use super::faults::FaultKind;
use super::topology::{Micros, Node, one_way};
use dunlinspread_config_sync::message::{ToClient, ToServer};
use dunlinspread_config_sync::resource::Position;
use dunlinspread_config_sync::size::{resource_bytes, transaction_bytes};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bytes a second of a connection, and of a process.
const CONNECTION_RATE: u64 = 12_500_000;
const PROCESS_RATE: u64 = 125_000_000;
pub const SLOW_RATE: u64 = 100_000;
const SLOW_LATENCY: Micros = 300_000;
/// The tag, length and version of a frame, and the headers below.
const FRAME_BYTES: usize = 37 + 66;
/// When the system gives up a connection on which nothing is acknowledged.
const KEEPALIVE: Micros = 15_000_000;
/// So many bytes unsent are reported to the server.
const REPORTED_BACKLOG: u64 = 64 * 1024;

/// A connection, which is also the number of its session.
pub type ConnectionId = u64;

/// What happens at a time.
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
    /// All that was sent to the client has left.
    Drained(ConnectionId),
    /// The disk of the publisher that was started so many times holds all up to there.
    Durable(u64, Position),
    /// The owner of a subscriber that was started so many times confirms.
    Applied(usize, u64, Position),
    Propose,
    Fault(FaultKind),
    Start(Node),
    /// A region that was cut off for so long can be reached again.
    Heal(usize, Micros),
    SpeedUp(ConnectionId),
}

/// One direction.
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
    /// Nothing arrives any more.
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

    /// The next event before `end`; time goes on to it.
    pub fn pop(&mut self, end: Micros) -> Option<Event> {
        let (&(at, _), _) = self.queue.first_key_value()?;
        if at > end {
            return None;
        }
        self.now = at;
        self.queue.pop_first().map(|(_, event)| event)
    }

    /// Whether two regions reach each other.
    pub fn reach(&self, one: usize, other: usize) -> bool {
        one == other || !(self.cut.contains(&one) || self.cut.contains(&other))
    }

    pub fn connect(&mut self, client: Node, server: Node) -> ConnectionId {
        self.next_number += 1;
        let id = self.next_number;
        let dead = !self.reach(client.region(), server.region());
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
        self.send_up(id, FRAME_BYTES, Event::Attempt(id));
        id
    }

    pub fn tell_server(&mut self, id: ConnectionId, message: ToServer) {
        self.send_up(id, server_bytes(&message), Event::ToServer(id, message));
    }

    /// Returns the bytes that wait, if that is to be reported.
    pub fn tell_client(&mut self, id: ConnectionId, message: Arc<ToClient>) -> Option<usize> {
        let backlog = self.send_down(id, client_bytes(&message), Event::ToClient(id, message));
        (backlog > REPORTED_BACKLOG).then_some(backlog as usize)
    }

    pub fn send_up(&mut self, id: ConnectionId, bytes: usize, event: Event) {
        self.send(id, bytes as u64, event, true);
    }

    /// Returns the bytes that wait.
    pub fn send_down(&mut self, id: ConnectionId, bytes: usize, event: Event) -> u64 {
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

    /// Whether nothing more waits to be sent to the client.
    pub fn is_drained(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| {
            !connection.dead && connection.server_open && connection.down.free_at <= self.now
        })
    }

    fn ids(&self, wanted: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        self.connections.iter().filter(|(_, connection)| wanted(connection)).map(|(id, _)| *id).collect()
    }

    /// A process is gone: what is on its way is lost, and the other ends learn it, if a way leads there.
    pub fn kill(&mut self, node: Node) {
        for id in self.ids(|connection| connection.touches(node)) {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            let silent = std::mem::replace(&mut connection.dead, true);
            let way = one_way(connection.client, connection.server);
            let event = if connection.client == node {
                connection.client_open = false;
                Event::ClosedForServer(id)
            } else {
                connection.server_open = false;
                Event::ClosedForClient(id)
            };
            if !silent {
                self.after(way, event);
            }
        }
    }

    /// The region is cut off from all others.
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

    /// Every `share`th connection becomes slow until it ends, or for a while.
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
