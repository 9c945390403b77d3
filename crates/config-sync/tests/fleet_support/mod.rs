//! Seeded simulation, in virtual time, of a publisher, two levels of relays and several subscribers. Messages
//! of different sessions arrive in any order, links break or stop carrying messages, processes are killed and
//! restarted, and the publisher's store is lost.

mod faults;
mod network;
mod published;
mod subscribers;

use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::delta_log::DeltaLogSettings;
use dunlinspread_config_sync::fanout::{FanoutAction, FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::publisher::{Publisher, PublisherAction, PublisherSettings};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use dunlinspread_config_sync::resource::{Millis, Position, Transaction};
use dunlinspread_config_sync::subscriber::{SubscriberAction, SubscriberEvent, SubscriberSettings};
use network::{ConnectionId, Event, Network, Node};
use published::Published;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use subscribers::SubscriberNode;

/// A strict subscriber refuses allowances that are multiples of this number.
pub const POLICY_MODULUS: u64 = 7;
const RELAYS: usize = 2;
const MAX_EVENTS_AT_ONE_TIME: u32 = 10_000;
pub const SUBSCRIBERS: usize = 6;

pub struct RelayNode {
    pub relay: Relay,
    pub link: Option<ConnectionId>,
}

pub struct World {
    pub net: Network,
    pub publisher: Publisher,
    pub publisher_starts: u64,
    /// Durable transactions of the current epoch.
    pub store: Vec<Arc<Transaction>>,
    /// Transactions given to the store that are not durable yet.
    pub under_way: VecDeque<Arc<Transaction>>,
    pub epoch: u64,
    pub published: Published,
    pub relays: Vec<RelayNode>,
    pub subscribers: Vec<SubscriberNode>,
}

fn zone_of(subscriber: usize) -> &'static str {
    if subscriber < SUBSCRIBERS / 2 { "a1" } else { "a2" }
}

fn server(node: Node) -> Server {
    let (name, zone) = match node {
        Node::Publisher => ("publisher", None),
        Node::Relay(0) => ("relay-0", None),
        Node::Relay(_) => ("relay-1", Some("a1".into())),
        Node::Subscriber(_) => unreachable!("a subscriber is not a server"),
    };
    let region = if node == Node::Publisher { "home" } else { "a" };
    Server {
        name: name.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone,
        region: region.into(),
    }
}

fn node_of(server: &Server) -> Node {
    match &*server.name {
        "publisher" => Node::Publisher,
        "relay-0" => Node::Relay(0),
        _ => Node::Relay(1),
    }
}

/// Returns settings with small bounds, so that logs overflow and all snapshot slots are in use.
fn fanout_settings(seed: u64) -> FanoutSettings {
    let log = DeltaLogSettings { max_transactions: 12, ..DeltaLogSettings::default() };
    FanoutSettings { max_snapshots: 2, log, seed, ..FanoutSettings::default() }
}

fn publisher_settings() -> PublisherSettings {
    PublisherSettings { fanout: fanout_settings(1), ..PublisherSettings::default() }
}

fn follower_settings(
    name: String,
    zone: &str,
    role: Role,
    servers: Vec<Node>,
    seed: u64,
) -> FollowerSettings {
    let member = Member { name: name.into(), zone: zone.into(), region: "a".into(), role };
    FollowerSettings::new(member, servers.into_iter().map(server).collect(), seed)
}

fn new_relay(number: usize, now: Millis, seed: u64) -> RelayNode {
    let (zone, upstream) = match number {
        0 => ("region-a", vec![Node::Publisher]),
        _ => ("a1", vec![Node::Relay(0), Node::Publisher]),
    };
    let follower = follower_settings(format!("relay-{number}"), zone, Role::Relay, upstream, seed);
    let settings = RelaySettings::new(follower, fanout_settings(seed));
    RelayNode { relay: Relay::new(settings, now), link: None }
}

fn subscriber_settings(number: usize) -> SubscriberSettings {
    let servers = vec![Node::Relay(0), Node::Relay(1)];
    let name = format!("server-{number}");
    let follower = follower_settings(name, zone_of(number), Role::Subscriber, servers, number as u64 + 100);
    SubscriberSettings::new(follower)
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut published = Published::default();
        published.begin(1);
        let mut world = World {
            net: Network::new(ChaCha8Rng::seed_from_u64(seed)),
            publisher: Publisher::new(publisher_settings(), 1),
            publisher_starts: 0,
            store: Vec::new(),
            under_way: VecDeque::new(),
            epoch: 1,
            published,
            relays: (0..RELAYS).map(|number| new_relay(number, 0, number as u64)).collect(),
            subscribers: Vec::new(),
        };
        for number in 0..SUBSCRIBERS {
            let strict = number % 3 == 2;
            let mut out = Vec::new();
            world.subscribers.push(SubscriberNode::new(subscriber_settings(number), strict, 0, &mut out));
            world.subscriber_actions(number, out);
        }
        world
    }

    /// Processes events and deadlines until `end`.
    pub fn run_until(&mut self, end: Millis) {
        let mut events_at_this_time = 0;
        loop {
            let next = self.net.next_at().unwrap_or(Millis::MAX).min(self.next_deadline());
            if next > end {
                self.net.now = end;
                return;
            }
            events_at_this_time = if next > self.net.now { 0 } else { events_at_this_time + 1 };
            assert!(
                events_at_this_time < MAX_EVENTS_AT_ONE_TIME,
                "virtual time does not advance past {next}"
            );
            self.net.now = self.net.now.max(next);
            match self.net.pop() {
                Some(event) => self.handle(event),
                None => self.tick_all(),
            }
        }
    }

    fn next_deadline(&self) -> Millis {
        let relays = self.relays.iter().map(|node| node.relay.deadline());
        let subscribers = self.subscribers.iter().map(|node| node.subscriber.deadline());
        relays.chain(subscribers).chain([self.publisher.deadline()]).min().unwrap_or(Millis::MAX)
    }

    fn tick_all(&mut self) {
        let now = self.net.now;
        if self.publisher.deadline() <= now {
            self.server_event(Node::Publisher, FanoutEvent::Tick);
        }
        for number in 0..RELAYS {
            if self.relays[number].relay.deadline() <= now {
                self.relay_event(number, RelayEvent::Tick);
            }
        }
        for number in 0..SUBSCRIBERS {
            if self.subscribers[number].subscriber.deadline() <= now {
                self.client_event(Node::Subscriber(number), FollowerEvent::Tick);
            }
        }
        assert!(self.next_deadline() > now, "the deadline does not advance after a tick");
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt(id) => self.attempt(id),
            Event::Connected(id) => self.deliver_to_client(id, FollowerEvent::Connected),
            Event::ConnectFailed(id) => self.deliver_to_client(id, FollowerEvent::ConnectFailed),
            Event::ReceivedByClient(id, message) if self.net.carries(id) => {
                self.deliver_to_client(id, FollowerEvent::Received((*message).clone()));
            }
            Event::ReceivedByServer(id, message) if self.net.carries(id) => {
                self.deliver_to_server(id, FanoutEvent::Received(SessionId(id), message));
            }
            Event::ReceivedByClient(..) | Event::ReceivedByServer(..) => {}
            Event::ClosedForClient(id) => {
                self.deliver_to_client(id, FollowerEvent::Disconnected);
            }
            Event::ClosedForServer(id) => {
                self.deliver_to_server(id, FanoutEvent::Closed(SessionId(id)));
                self.net.forget(id);
            }
            Event::Durable(starts, position) => self.on_durable(starts, position),
            Event::Applied(number, starts, position) => self.on_applied(number, starts, position),
            Event::Propose => self.propose(),
            Event::Fault => self.fault(),
        }
    }

    /// Handles the arrival of a client's connection attempt at its server.
    fn attempt(&mut self, id: ConnectionId) {
        let Some(connection) = self.net.get(id) else { return };
        if !self.net.accepts(connection.server) || !self.net.carries(id) {
            self.net.send_to_client(id, Event::ConnectFailed(id));
            return;
        }
        self.net.send_to_client(id, Event::Connected(id));
        self.deliver_to_server(id, FanoutEvent::Opened(SessionId(id)));
    }

    /// Delivers an event to a client if it belongs to the client's current connection.
    fn deliver_to_client(&mut self, id: ConnectionId, event: FollowerEvent) {
        let Some(connection) = self.net.get(id) else { return };
        let link = self.link_of(connection.client);
        if *link != Some(id) {
            return;
        }
        if matches!(event, FollowerEvent::Disconnected | FollowerEvent::ConnectFailed) {
            *link = None;
        }
        self.client_event(connection.client, event);
    }

    fn deliver_to_server(&mut self, id: ConnectionId, event: FanoutEvent) {
        if let Some(connection) = self.net.get(id) {
            self.server_event(connection.server, event);
        }
    }

    fn link_of(&mut self, client: Node) -> &mut Option<ConnectionId> {
        match client {
            Node::Relay(number) => &mut self.relays[number].link,
            Node::Subscriber(number) => &mut self.subscribers[number].link,
            Node::Publisher => unreachable!("the publisher is not a client"),
        }
    }

    fn client_event(&mut self, client: Node, event: FollowerEvent) {
        match client {
            Node::Relay(number) => self.relay_event(number, RelayEvent::Upstream(event)),
            Node::Subscriber(number) => self.subscriber_event(number, SubscriberEvent::Link(event)),
            Node::Publisher => unreachable!("the publisher is not a client"),
        }
    }

    fn server_event(&mut self, server: Node, event: FanoutEvent) {
        match server {
            Node::Publisher => {
                let mut out = Vec::new();
                self.publisher.on_event(self.net.now, event, &mut out);
                self.publisher_actions(out);
            }
            Node::Relay(number) => self.relay_event(number, RelayEvent::Downstream(event)),
            Node::Subscriber(_) => unreachable!("a subscriber is not a server"),
        }
    }

    fn relay_event(&mut self, number: usize, event: RelayEvent) {
        let mut out = Vec::new();
        let relay = &mut self.relays[number].relay;
        let before = relay.position();
        relay.on_event(self.net.now, event, &mut out);
        assert!(relay.position() >= before, "relay {number} regressed");
        assert_eq!(relay.position(), relay.fanout().head());
        self.published.check(relay.follower());
        self.published.check_age(self.net.now, relay.follower());
        for action in out {
            match action {
                RelayAction::Upstream(action) => self.link_action(Node::Relay(number), action),
                RelayAction::Downstream(action) => self.fanout_action(action),
            }
        }
    }

    fn subscriber_event(&mut self, number: usize, event: SubscriberEvent) {
        let mut out = Vec::new();
        let node = &mut self.subscribers[number];
        let before = node.subscriber.follower().position();
        node.subscriber.on_event(self.net.now, event, &mut out);
        assert!(node.subscriber.follower().position() >= before, "subscriber {number} regressed");
        self.published.check(node.subscriber.follower());
        self.published.check_age(self.net.now, node.subscriber.follower());
        let updated = out.iter().any(|action| matches!(action, SubscriberAction::InForce(_)));
        self.subscriber_actions(number, out);
        if updated {
            self.subscribers[number].check_in_force();
        }
    }

    pub fn subscriber_actions(&mut self, number: usize, actions: Vec<SubscriberAction>) {
        for action in actions {
            match action {
                SubscriberAction::Link(action) => self.link_action(Node::Subscriber(number), action),
                SubscriberAction::Persist(record) => self.subscribers[number].persist(&record),
                SubscriberAction::InForce(update) => {
                    self.subscribers[number].apply(&update, &self.published);
                    let starts = self.subscribers[number].starts;
                    let confirmed_at = self.net.now + self.net.rng.random_range(0..300);
                    self.net.schedule(confirmed_at, Event::Applied(number, starts, update.position));
                }
            }
        }
    }

    fn on_applied(&mut self, number: usize, starts: u64, position: Position) {
        if self.subscribers[number].starts == starts {
            self.subscriber_event(number, SubscriberEvent::Applied(position));
        }
    }

    fn link_action(&mut self, client: Node, action: LinkAction) {
        match action {
            LinkAction::Connect(server) => {
                let id = self.net.connect(client, node_of(&server));
                assert_eq!(self.link_of(client).replace(id), None, "one connection at a time");
            }
            LinkAction::Send(message) => {
                let id = self.link_of(client).expect("an open connection");
                self.net.send_to_server(id, Event::ReceivedByServer(id, message));
            }
            LinkAction::Disconnect(_) => {
                let id = self.link_of(client).take().expect("a connection");
                self.net.send_to_server(id, Event::ClosedForServer(id));
            }
        }
    }

    fn fanout_action(&mut self, action: FanoutAction) {
        match action {
            FanoutAction::Send { session: SessionId(id), message } => {
                self.net.send_to_client(id, Event::ReceivedByClient(id, message));
            }
            FanoutAction::Close { session: SessionId(id), .. } => {
                self.net.send_to_client(id, Event::ClosedForClient(id));
            }
        }
    }

    pub fn publisher_actions(&mut self, actions: Vec<PublisherAction>) {
        for action in actions {
            match action {
                PublisherAction::Fanout(action) => self.fanout_action(action),
                PublisherAction::Persist { transaction } => {
                    let durable_at = self.net.now + self.net.rng.random_range(1..40);
                    self.net
                        .schedule(durable_at, Event::Durable(self.publisher_starts, transaction.position));
                    self.under_way.push_back(transaction);
                }
            }
        }
    }
}
