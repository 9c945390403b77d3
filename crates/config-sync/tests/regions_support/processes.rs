//! Starts and stops of processes, and the execution of their actions.

use super::network::{ConnectionId, Event};
use super::topology::{Node, publisher_settings, relay_settings};
use super::world::World;
use dunlinspread_config_sync::fanout::{FanoutAction, FanoutEvent, SessionId};
use dunlinspread_config_sync::follower::{FollowerEvent, LinkAction};
use dunlinspread_config_sync::publisher::{Publisher, PublisherAction};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent};
use dunlinspread_config_sync::resource::{Millis, Position, Transaction};
use dunlinspread_config_sync::subscriber::{SubscriberAction, SubscriberEvent};
use rand::RngExt;

/// A relay's process; `machine` is `None` while it is down.
#[derive(Default)]
pub struct RelayProcess {
    pub machine: Option<Relay>,
    pub link: Option<ConnectionId>,
}

/// Bytes of a segment that closes a connection.
const CLOSE_BYTES: usize = 66;

impl World {
    pub fn now_ms(&self) -> Millis {
        self.net.now / 1_000
    }

    pub fn start(&mut self, node: Node) {
        let now_ms = self.now_ms();
        let seed = self.net.rng.random();
        match node {
            Node::Publisher => self.start_publisher(),
            Node::Relay(number) => {
                self.relays[number].machine = Some(Relay::new(relay_settings(number, seed), now_ms));
            }
            Node::Subscriber(number) => {
                let mut out = Vec::new();
                let process = &mut self.subscribers[number];
                process.start(number, seed, self.net.now, &self.history, &mut out);
                let head = self.history.head();
                process.healing = (process.confirmed < head).then_some((self.net.now, head));
                self.subscriber_actions(number, out);
            }
        }
        self.tick(node);
    }

    fn start_publisher(&mut self) {
        let (position, table) = self.history.base();
        let later: Vec<Transaction> = self.history.disk.iter().map(|one| (**one).clone()).collect();
        let restored = Publisher::restore(publisher_settings(), position, table.clone(), 0, later);
        self.publisher = Some(restored.expect("the disk was written in order"));
        self.publisher_starts += 1;
        self.publisher_up_since = self.net.now;
        self.mark_reachable(|_| true);
    }

    pub fn stop(&mut self, node: Node) {
        self.net.kill(node);
        self.armed.remove(&node);
        match node {
            Node::Publisher => {
                self.publisher = None;
                self.under_way.clear();
            }
            Node::Relay(number) => self.relays[number] = RelayProcess::default(),
            Node::Subscriber(number) => self.subscribers[number].stop(),
        }
    }

    pub fn is_up(&self, node: Node) -> bool {
        match node {
            Node::Publisher => self.publisher.is_some(),
            Node::Relay(number) => self.relays[number].machine.is_some(),
            Node::Subscriber(number) => self.subscribers[number].machine.is_some(),
        }
    }

    fn deadline(&self, node: Node) -> Option<Millis> {
        match node {
            Node::Publisher => self.publisher.as_ref().map(Publisher::deadline),
            Node::Relay(number) => self.relays[number].machine.as_ref().map(Relay::deadline),
            Node::Subscriber(number) => self.subscribers[number].machine.as_ref().map(|one| one.deadline()),
        }
    }

    /// Schedules the node's next tick at its deadline.
    pub fn arm(&mut self, node: Node) {
        let Some(deadline) = self.deadline(node) else { return };
        let at = deadline.saturating_mul(1_000).max(self.net.now + 1);
        if self.armed.get(&node).is_none_or(|&armed| at < armed) {
            self.armed.insert(node, at);
            self.net.schedule(at, Event::Tick(node));
        }
    }

    pub fn on_tick(&mut self, node: Node) {
        if self.armed.get(&node) != Some(&self.net.now) {
            return;
        }
        self.armed.remove(&node);
        if self.deadline(node).is_some_and(|deadline| deadline <= self.now_ms()) {
            self.tick(node);
        } else {
            self.arm(node);
        }
    }

    fn tick(&mut self, node: Node) {
        match node {
            Node::Publisher => self.server_event(node, FanoutEvent::Tick),
            Node::Relay(number) => self.relay_event(number, RelayEvent::Tick),
            Node::Subscriber(_) => self.client_event(node, FollowerEvent::Tick),
        }
    }

    pub fn server_event(&mut self, server: Node, event: FanoutEvent) {
        let now = self.now_ms();
        if let Node::Relay(number) = server {
            return self.relay_event(number, RelayEvent::Downstream(event));
        }
        let Some(publisher) = &mut self.publisher else { return };
        let mut out = Vec::new();
        publisher.on_event(now, event, &mut out);
        self.publisher_actions(out);
    }

    pub fn client_event(&mut self, client: Node, event: FollowerEvent) {
        match client {
            Node::Publisher => {}
            Node::Relay(number) => self.relay_event(number, RelayEvent::Upstream(event)),
            Node::Subscriber(number) => self.subscriber_event(number, SubscriberEvent::Link(event)),
        }
    }

    fn relay_event(&mut self, number: usize, event: RelayEvent) {
        let now = self.now_ms();
        let Some(relay) = &mut self.relays[number].machine else { return };
        let before = relay.position();
        let mut out = Vec::new();
        relay.on_event(now, event, &mut out);
        let position = relay.position();
        self.report.regressed += u64::from(position < before);
        if position != before {
            let digest = relay.follower().table().digest();
            self.report.torn += u64::from(self.history.digest(position) != Some(digest));
        }
        for action in out {
            match action {
                RelayAction::Upstream(action) => self.link_action(Node::Relay(number), action),
                RelayAction::Downstream(action) => self.fanout_action(Node::Relay(number), action),
            }
        }
        self.arm(Node::Relay(number));
    }

    pub fn subscriber_event(&mut self, number: usize, event: SubscriberEvent) {
        let now = self.now_ms();
        let Some(machine) = &mut self.subscribers[number].machine else { return };
        let before = machine.follower().position();
        let mut out = Vec::new();
        machine.on_event(now, event, &mut out);
        let after = machine.follower().position();
        self.report.regressed += u64::from(after < before);
        if after != before {
            self.subscribers[number].check_mirror(&self.history, &mut self.report);
        }
        self.subscriber_actions(number, out);
        self.arm(Node::Subscriber(number));
    }

    fn subscriber_actions(&mut self, number: usize, actions: Vec<SubscriberAction>) {
        for action in actions {
            match action {
                SubscriberAction::Link(action) => self.link_action(Node::Subscriber(number), action),
                SubscriberAction::Persist(record) => {
                    self.subscribers[number].persist(&record, &self.history, &mut self.report);
                }
                SubscriberAction::InForce(update) => {
                    let process = &mut self.subscribers[number];
                    process.apply(&update, &self.history, &mut self.report);
                    let starts = process.starts;
                    self.report.add_to_digest([self.net.now, number as u64, update.position.revision]);
                    let delay = self.net.rng.random_range(200..5_000);
                    self.net.after(delay, Event::Applied(number, starts, update.position));
                }
            }
        }
    }

    fn link_of(&mut self, client: Node) -> &mut Option<ConnectionId> {
        match client {
            Node::Relay(number) => &mut self.relays[number].link,
            Node::Subscriber(number) => &mut self.subscribers[number].link,
            Node::Publisher => unreachable!("the publisher is not a client"),
        }
    }

    /// Delivers an event to a client if it belongs to the client's current connection.
    pub fn deliver_to_client(&mut self, id: ConnectionId, event: FollowerEvent) {
        let ended = matches!(event, FollowerEvent::Disconnected | FollowerEvent::ConnectFailed);
        let Some(connection) = self.net.connections.get_mut(&id) else { return };
        if !connection.client_open || (connection.dead && !ended) {
            return;
        }
        let client = connection.client;
        if ended {
            connection.client_open = false;
        }
        let link = self.link_of(client);
        if *link != Some(id) {
            return;
        }
        if ended {
            *link = None;
        }
        self.client_event(client, event);
    }

    fn link_action(&mut self, client: Node, action: LinkAction) {
        match action {
            LinkAction::Connect(server) => {
                let id = self.net.connect(client, Node::of(&server));
                assert!(self.link_of(client).replace(id).is_none(), "one connection at a time");
            }
            LinkAction::Send(message) => {
                let id = self.link_of(client).expect("an open connection");
                self.net.send_to_server(id, message);
            }
            LinkAction::Disconnect(_) => {
                let id = self.link_of(client).take().expect("a connection");
                self.net.schedule_at_server(id, CLOSE_BYTES, Event::ClosedForServer(id));
                if let Some(connection) = self.net.connections.get_mut(&id) {
                    connection.client_open = false;
                }
            }
        }
    }

    fn fanout_action(&mut self, server: Node, action: FanoutAction) {
        match action {
            FanoutAction::Send { session: SessionId(id), message } => {
                if let Some(bytes) = self.net.send_to_client(id, message) {
                    self.server_event(server, FanoutEvent::Backlog { session: SessionId(id), bytes });
                }
            }
            FanoutAction::Close { session: SessionId(id), .. } => {
                self.net.schedule_at_client(id, CLOSE_BYTES, Event::ClosedForClient(id));
                if let Some(connection) = self.net.connections.get_mut(&id) {
                    connection.server_open = false;
                }
            }
        }
    }

    pub fn publisher_actions(&mut self, actions: Vec<PublisherAction>) {
        for action in actions {
            match action {
                PublisherAction::Fanout(action) => self.fanout_action(Node::Publisher, action),
                PublisherAction::Persist { transaction } => {
                    let delay = self.net.rng.random_range(2_000..15_000);
                    let position: Position = transaction.position;
                    self.under_way.push_back((transaction, self.net.now));
                    self.net.after(delay, Event::Durable(self.publisher_starts, position));
                    if self.reports_before_durable {
                        self.report_durable(position);
                    }
                }
            }
        }
        self.arm(Node::Publisher);
    }
}
