//! The processes and the publisher's disk, and the effect of each step on them.

use super::explore::Bounds;
use super::fault::Fault;
use super::links::{Down, Link, Server, Up};
use super::setup;
use dunlinspread_config_sync::client::Update;
use dunlinspread_config_sync::fanout::{FanoutAction, FanoutEvent, SessionId};
use dunlinspread_config_sync::follower::{Follower, FollowerEvent, LinkAction};
use dunlinspread_config_sync::message::ToServer;
use dunlinspread_config_sync::publisher::{Publisher, PublisherAction};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent};
use dunlinspread_config_sync::resource::{Change, Key, Millis, Position, Resource, Transaction};
use dunlinspread_config_sync::subscriber::{PersistedState, Subscriber, SubscriberAction, SubscriberEvent};
use dunlinspread_config_sync::table::Table;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const EPOCH: u64 = 1;
/// The publisher's first position, with an empty table.
const START: Position = Position { epoch: EPOCH, revision: 0 };
/// Index of the relay among the clients.
pub const RELAY: usize = 0;

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Propose,
    /// The disk writes the next change.
    Write,
    /// The publisher receives the durable position.
    ReportDurable,
    /// The publisher is killed and restarts from its disk.
    Crash,
    /// The relay is killed and restarts with an empty table.
    RestartRelay,
    /// A client's connection breaks and both ends see it closed.
    Break(usize),
    /// The next message of a client arrives at its server.
    Up(usize),
    /// The next message for a client arrives.
    Down(usize),
    /// The relay, which may lag behind, sends its head in a heartbeat.
    Heartbeat,
}

/// Results of the checks of a state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Checks {
    pub not_durable: bool,
    pub torn: bool,
    pub regressed: bool,
    /// Whether only faults can still occur.
    pub quiet: bool,
    pub equal: bool,
}

/// The contents of a table, independent of the crate's own `Table`.
pub type Contents = BTreeMap<Key, Resource>;

pub enum Machine {
    Relay(Box<Relay>),
    Subscriber { machine: Box<Subscriber>, in_force: Contents, at: Position },
}

pub struct Client {
    pub machine: Machine,
    pub link: Option<Link>,
}

impl Client {
    pub fn follower(&self) -> &Follower {
        match &self.machine {
            Machine::Relay(relay) => relay.follower(),
            Machine::Subscriber { machine, .. } => machine.follower(),
        }
    }
}

pub struct World {
    pub(super) bounds: Bounds,
    pub(super) fault: Fault,
    pub(super) now: Millis,
    pub(super) publisher: Publisher,
    pub(super) disk: Vec<Arc<Transaction>>,
    pub(super) under_way: VecDeque<Arc<Transaction>>,
    pub(super) clients: Vec<Client>,
    pub(super) next_session: u64,
    pub(super) proposed: u8,
    pub(super) crashes: u8,
    pub(super) relay_restarts: u8,
    pub(super) breaks: u8,
    pub(super) heartbeats: u8,
    pub(super) regressed: bool,
}

pub fn apply(contents: &mut Contents, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(resource) => contents.insert(resource.key(), resource.clone()),
            Change::Delete(key) => contents.remove(key),
        };
    }
}

impl World {
    pub fn new(bounds: Bounds, fault: Fault) -> World {
        let relay = Machine::Relay(Box::new(Relay::new(setup::relay(), 0)));
        let mut world = World {
            bounds,
            fault,
            now: 0,
            publisher: Publisher::new(setup::publisher(), EPOCH),
            disk: Vec::new(),
            under_way: VecDeque::new(),
            clients: vec![Client { machine: relay, link: None }],
            next_session: 0,
            proposed: 0,
            crashes: 0,
            relay_restarts: 0,
            breaks: 0,
            heartbeats: 0,
            regressed: false,
        };
        for number in 0..bounds.subscribers {
            let settings = setup::subscriber(number, bounds.servers);
            let position = if bounds.connected { START } else { Position::default() };
            let stored = PersistedState { position, ..PersistedState::default() };
            let machine = Subscriber::resume(settings, Box::new(setup::AcceptAll), &stored, 0);
            let (in_force, at) = (Contents::new(), position);
            let machine = Machine::Subscriber { machine: Box::new(machine), in_force, at };
            world.clients.push(Client { machine, link: None });
        }
        world.connect_all();
        if bounds.connected {
            world.deliver_all();
        }
        world
    }

    /// Delivers messages until none is in transit.
    fn deliver_all(&mut self) {
        let is_delivery = |step: &Step| matches!(step, Step::Up(_) | Step::Down(_));
        while let Some(step) = self.possible().into_iter().find(is_delivery) {
            self.step(step);
        }
    }

    /// Returns the steps that are possible in this state.
    pub fn possible(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut add = |condition: bool, step: Step| {
            if condition {
                steps.push(step);
            }
        };
        add(self.proposed < self.bounds.changes, Step::Propose);
        add(!self.under_way.is_empty(), Step::Write);
        add(self.publisher.head() < self.durable(), Step::ReportDurable);
        add(self.crashes < self.bounds.crashes && !self.disk.is_empty(), Step::Crash);
        add(self.relay_restarts < self.bounds.relay_restarts, Step::RestartRelay);
        for (number, client) in self.clients.iter().enumerate() {
            let Some(link) = &client.link else { continue };
            add(link.up.is_waiting(), Step::Up(number));
            add(link.down.is_waiting(), Step::Down(number));
            add(self.breaks < self.bounds.breaks && client.follower().is_open(), Step::Break(number));
        }
        add(self.heartbeats < self.bounds.heartbeats, Step::Heartbeat);
        steps
    }

    pub fn step(&mut self, step: Step) {
        self.now += 1;
        match step {
            Step::Propose => self.propose(),
            Step::Write => self.disk.extend(self.under_way.pop_front()),
            Step::ReportDurable => self.report_durable(self.durable()),
            Step::Crash => self.crash(),
            Step::RestartRelay => self.restart_relay(),
            Step::Break(client) => {
                self.breaks += 1;
                self.break_link(client);
            }
            Step::Up(client) => self.deliver_to_server(client),
            Step::Down(client) => self.deliver_to_client(client),
            Step::Heartbeat => {
                self.heartbeats += 1;
                self.server_event(Server::Relay, FanoutEvent::Tick);
            }
        }
        self.now += 1;
        self.connect_all();
    }

    pub(super) fn durable(&self) -> Position {
        Position { epoch: EPOCH, revision: self.disk.len() as u64 }
    }

    /// Makes each client without a connection attempt one; the shortest delay has passed.
    fn connect_all(&mut self) {
        for number in 0..self.clients.len() {
            if self.clients[number].link.is_none() {
                self.client_event(number, FollowerEvent::Tick);
            }
        }
    }

    fn propose(&mut self) {
        let changes = vec![setup::change(self.proposed)];
        self.proposed += 1;
        let mut out = Vec::new();
        let position = self.publisher.propose(0, changes, &mut out).expect("a valid proposal");
        self.publisher_actions(out);
        if self.fault == Fault::ReportedBeforeDurable {
            self.report_durable(position);
        }
    }

    fn report_durable(&mut self, position: Position) {
        let mut out = Vec::new();
        self.publisher.on_durable(self.now, position, &mut out);
        self.publisher_actions(out);
    }

    fn crash(&mut self) {
        self.crashes += 1;
        self.under_way.clear();
        let transactions = self.disk.iter().map(|transaction| (**transaction).clone()).collect();
        let restored = Publisher::restore(setup::publisher(), START, Table::new(), 0, transactions);
        self.publisher = restored.expect("the disk was written in order");
        self.drop_sessions(Server::Publisher);
    }

    fn restart_relay(&mut self) {
        self.relay_restarts += 1;
        self.break_link(RELAY);
        self.clients[RELAY].machine = Machine::Relay(Box::new(Relay::new(setup::relay(), self.now)));
        self.drop_sessions(Server::Relay);
    }

    /// Closes the connections of the clients of a server that stopped.
    fn drop_sessions(&mut self, server: Server) {
        for number in 0..self.clients.len() {
            if self.clients[number].link.as_ref().is_some_and(|link| link.server == server) {
                self.clients[number].link = None;
                self.client_event(number, FollowerEvent::Disconnected);
            }
        }
    }

    fn break_link(&mut self, client: usize) {
        if let Some(link) = self.clients[client].link.take() {
            self.server_event(link.server, FanoutEvent::Closed(link.session));
            self.client_event(client, FollowerEvent::Disconnected);
        }
    }

    /// Delivers the next message to the server. A connection attempt and the `Watch` after it arrive in one
    /// step, because the client's table cannot change in between.
    fn deliver_to_server(&mut self, client: usize) {
        let Some(link) = self.clients[client].link.as_mut() else { return };
        let (session, server) = (link.session, link.server);
        match link.up.take() {
            Some(Up::Attempt) => {
                self.server_event(server, FanoutEvent::Opened(session));
                self.client_event(client, FollowerEvent::Connected);
                self.deliver_to_server(client);
            }
            Some(Up::Message(message)) => {
                let message = self.altered_to_server(client, message);
                self.server_event(server, FanoutEvent::Received(session, message));
            }
            None => {}
        }
    }

    fn deliver_to_client(&mut self, client: usize) {
        let Some(link) = self.clients[client].link.as_mut() else { return };
        match link.down.take() {
            Some(Down::Message(message)) => {
                let message = self.altered_to_client(client, (*message).clone());
                self.client_event(client, FollowerEvent::Received(message));
            }
            Some(Down::Closed) => {
                self.clients[client].link = None;
                self.client_event(client, FollowerEvent::Disconnected);
            }
            None => {}
        }
    }

    fn server_event(&mut self, server: Server, event: FanoutEvent) {
        match server {
            Server::Publisher => {
                let mut out = Vec::new();
                self.publisher.on_event(self.now, event, &mut out);
                self.publisher_actions(out);
            }
            Server::Relay => self.relay_event(RelayEvent::Downstream(event)),
        }
    }

    fn client_event(&mut self, client: usize, event: FollowerEvent) {
        if client == RELAY {
            return self.relay_event(RelayEvent::Upstream(event));
        }
        self.subscriber_event(client, SubscriberEvent::Link(event));
    }

    fn relay_event(&mut self, event: RelayEvent) {
        let Machine::Relay(relay) = &mut self.clients[RELAY].machine else { return };
        let before = relay.position();
        let mut out = Vec::new();
        relay.on_event(self.now, event, &mut out);
        self.regressed |= relay.position() < before;
        for action in out {
            match action {
                RelayAction::Upstream(action) => self.link_action(RELAY, action),
                RelayAction::Downstream(action) => self.fanout_action(action),
            }
        }
    }

    fn subscriber_event(&mut self, client: usize, event: SubscriberEvent) {
        let Machine::Subscriber { machine, .. } = &mut self.clients[client].machine else { return };
        let before = machine.follower().position();
        let mut out = Vec::new();
        machine.on_event(self.now, event, &mut out);
        self.regressed |= machine.follower().position() < before;
        for action in out {
            match action {
                SubscriberAction::Link(action) => self.link_action(client, action),
                SubscriberAction::InForce(update) => self.put_in_force(client, &update),
                SubscriberAction::Persist(_) => {}
            }
        }
    }

    fn put_in_force(&mut self, client: usize, update: &Update) {
        let Machine::Subscriber { in_force, at, .. } = &mut self.clients[client].machine else { return };
        self.regressed |= update.position < *at;
        *at = update.position;
        apply(in_force, &update.changes);
        self.subscriber_event(client, SubscriberEvent::Applied(update.position));
    }

    /// Carries out a client's action. Progress is left out because no table depends on it. Confirmations of
    /// pieces are left out because there are always fewer pieces than the window.
    fn link_action(&mut self, client: usize, action: LinkAction) {
        match action {
            LinkAction::Connect(server) => {
                self.next_session += 1;
                let link = Link::new(SessionId(self.next_session), Server::of(&server));
                assert!(self.clients[client].link.replace(link).is_none(), "one connection at a time");
            }
            LinkAction::Send(ToServer::Progress { .. } | ToServer::PieceTaken { .. }) => {}
            LinkAction::Send(message) => {
                let link = self.clients[client].link.as_mut().expect("an open connection");
                link.up.push(Up::Message(message));
            }
            LinkAction::Disconnect(_) => {
                let link = self.clients[client].link.take().expect("a connection");
                self.server_event(link.server, FanoutEvent::Closed(link.session));
            }
        }
    }

    fn fanout_action(&mut self, action: FanoutAction) {
        let (session, message) = match action {
            FanoutAction::Send { session, message } => (session, Down::Message(message)),
            FanoutAction::Close { session, .. } => (session, Down::Closed),
        };
        let mut links = self.clients.iter_mut().filter_map(|client| client.link.as_mut());
        if let Some(link) = links.find(|link| link.session == session) {
            link.down.push(message);
        }
    }

    fn publisher_actions(&mut self, actions: Vec<PublisherAction>) {
        for action in actions {
            match action {
                PublisherAction::Persist { transaction } => self.under_way.push_back(transaction),
                PublisherAction::Fanout(action) => self.fanout_action(action),
            }
        }
    }
}
