//! The day: what is proposed, what arrives, and what is measured.

use super::history::{History, TENANTS, allowance};
use super::network::{ConnectionId, Event, Network};
use super::processes::RelayProcess;
use super::report::{Report, Times};
use super::subscribers::SubscriberProcess;
use super::topology::{Micros, Node, RELAYS, ZONES};
use dunlinspread_config_sync::fanout::{FanoutEvent, SessionId};
use dunlinspread_config_sync::follower::FollowerEvent;
use dunlinspread_config_sync::publisher::Publisher;
use dunlinspread_config_sync::resource::{Position, Transaction};
use dunlinspread_config_sync::subscriber::SubscriberEvent;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const SECOND: Micros = 1_000_000;
/// Processes start within this time.
const START: Micros = 3 * SECOND;
/// Changes are proposed until then.
const LOAD_END: Micros = 48 * SECOND;
/// Faults have healed by then, and all have caught up.
const END: Micros = 70 * SECOND;
/// From then on it is looked how long the publisher does not know that all is in force in some zone: a relay
/// that tries a nearer server is missing for a moment, and no longer.
const LOOKS_FROM: Micros = END - 15 * SECOND;
/// How long that may last: a few reports, far less than a try takes that has to be given up.
const NOT_KNOWN_LIMIT: Micros = 2 * SECOND;
/// Two heartbeats, which a subscriber that has just come to a server may still wait for, and the ways.
const AGE_TOLERANCE_MS: u64 = 2_500;
/// Changes at random times, and in one second.
const CHANGES: usize = 24;
const BURST: usize = 20;

pub struct World {
    pub net: Network,
    pub history: History,
    pub publisher: Option<Publisher>,
    pub publisher_starts: u64,
    pub publisher_up_since: Micros,
    /// Given to the disk, and when each was proposed.
    pub under_way: VecDeque<(Arc<Transaction>, Micros)>,
    /// A fault that has to be found.
    pub tells_before_durable: bool,
    pub relays: Vec<RelayProcess>,
    pub subscribers: Vec<SubscriberProcess>,
    /// When each node's next tick is.
    pub armed: BTreeMap<Node, Micros>,
    /// When each region could last be reached again from the publisher's.
    region_since: Vec<Micros>,
    /// When the publisher last knew of every zone that all is in force, from [`LOOKS_FROM`] on.
    all_known_at: Micros,
    pub report: Report,
    times: Times,
}

impl World {
    pub fn new(seed: u64, subscribers: usize) -> World {
        let history = History::new();
        let processes = (0..subscribers).map(|_| SubscriberProcess::new(&history)).collect();
        World {
            net: Network::new(ChaCha8Rng::seed_from_u64(seed)),
            history,
            publisher: None,
            publisher_starts: 0,
            publisher_up_since: 0,
            under_way: VecDeque::new(),
            tells_before_durable: false,
            relays: (0..RELAYS).map(|_| RelayProcess::default()).collect(),
            subscribers: processes,
            armed: BTreeMap::new(),
            region_since: vec![0; super::topology::REGIONS],
            all_known_at: 0,
            report: Report { seed, subscribers, relays: RELAYS, ..Report::default() },
            times: Times::new(),
        }
    }

    pub fn play(mut self) -> Report {
        self.schedule_starts();
        self.schedule_changes();
        self.schedule_faults();
        while let Some(event) = self.net.pop(END) {
            self.report.events += 1;
            self.handle(event);
            if self.net.now >= LOOKS_FROM {
                self.look_at_zones();
            }
        }
        self.judge_end();
        self.report
    }

    fn schedule_starts(&mut self) {
        self.net.schedule(0, Event::Start(Node::Publisher));
        let relays = (0..RELAYS).map(Node::Relay);
        let nodes: Vec<Node> = relays.chain((0..self.subscribers.len()).map(Node::Subscriber)).collect();
        for node in nodes {
            let at = self.net.rng.random_range(0..START);
            self.net.schedule(at, Event::Start(node));
        }
    }

    fn schedule_changes(&mut self) {
        let burst = self.net.rng.random_range(START..LOAD_END - SECOND);
        for number in 0..CHANGES + BURST {
            let (from, to) = if number < CHANGES { (START, LOAD_END) } else { (burst, burst + SECOND) };
            let at = self.net.rng.random_range(from..to);
            self.net.schedule(at, Event::Propose);
        }
        self.net.schedule(LOAD_END, Event::Propose);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.on_tick(node),
            Event::Attempt(id) => self.attempt(id),
            Event::Connected(id) => self.arrive_at_client(id, FollowerEvent::Connected),
            Event::ConnectFailed(id) => self.arrive_at_client(id, FollowerEvent::ConnectFailed),
            Event::ToClient(id, message) => {
                self.arrive_at_client(id, FollowerEvent::Received((*message).clone()));
            }
            Event::ClosedForClient(id) => self.arrive_at_client(id, FollowerEvent::Disconnected),
            Event::ToServer(id, message) => {
                self.arrive_at_server(id, FanoutEvent::Received(SessionId(id), message));
            }
            Event::ClosedForServer(id) => self.closed_for_server(id),
            Event::Drained(id) if self.net.is_drained(id) => {
                self.arrive_at_server(id, FanoutEvent::Backlog { session: SessionId(id), bytes: 0 });
            }
            Event::Drained(_) => {}
            Event::Durable(starts, position) => self.durable(starts, position),
            Event::Applied(number, starts, position) => self.applied(number, starts, position),
            Event::Propose => self.propose(),
            Event::Fault(kind) => self.fault(kind),
            Event::Start(node) if !self.is_up(node) => self.start(node),
            Event::Start(_) => {}
            Event::Heal(region, cut_for) => self.heal(region, cut_for),
            Event::SpeedUp(id) => self.net.set_slow(id, false),
        }
    }

    /// A client arrives at a server; a process that is down refuses it.
    fn attempt(&mut self, id: ConnectionId) {
        let Some(connection) = self.net.connections.get(&id) else { return };
        if connection.dead || !connection.client_open {
            return;
        }
        let server = connection.server;
        if !self.is_up(server) {
            self.net.send_down(id, 0, Event::ConnectFailed(id));
            return;
        }
        if let Some(connection) = self.net.connections.get_mut(&id) {
            connection.server_open = true;
        }
        self.net.send_down(id, 0, Event::Connected(id));
        self.server_event(server, FanoutEvent::Opened(SessionId(id)));
    }

    fn arrive_at_server(&mut self, id: ConnectionId, event: FanoutEvent) {
        let Some(connection) = self.net.connections.get(&id) else { return };
        if connection.server_open && !connection.dead {
            self.server_event(connection.server, event);
        }
    }

    fn closed_for_server(&mut self, id: ConnectionId) {
        let Some(connection) = self.net.connections.get_mut(&id) else { return };
        let server = connection.server;
        if std::mem::take(&mut connection.server_open) {
            self.server_event(server, FanoutEvent::Closed(SessionId(id)));
        }
    }

    fn propose(&mut self) {
        let mut changes = BTreeMap::new();
        for _ in 0..self.net.rng.random_range(1..4) {
            let tenant = self.net.rng.random_range(0..TENANTS);
            changes.insert(tenant, allowance(tenant, self.net.rng.random_range(2_000..1_000_000)));
        }
        let now_ms = self.now_ms();
        let Some(publisher) = &mut self.publisher else { return };
        let mut out = Vec::new();
        let changes = changes.into_values().collect();
        publisher.propose(now_ms, changes, &mut out).expect("a good proposal");
        self.publisher_actions(out);
    }

    fn durable(&mut self, starts: u64, position: Position) {
        if starts != self.publisher_starts {
            return;
        }
        while self.under_way.front().is_some_and(|(first, _)| first.position <= position) {
            let (transaction, proposed_at) = self.under_way.pop_front().expect("looked at");
            self.history.push(transaction, proposed_at);
        }
        self.tell_durable(position);
    }

    pub fn tell_durable(&mut self, position: Position) {
        let now_ms = self.now_ms();
        let Some(publisher) = &mut self.publisher else { return };
        let mut out = Vec::new();
        publisher.on_durable(now_ms, position, &mut out);
        self.publisher_actions(out);
    }

    fn applied(&mut self, number: usize, starts: u64, position: Position) {
        let process = &mut self.subscribers[number];
        if process.starts != starts || process.machine.is_none() {
            return;
        }
        // Confirmations can overtake each other; a later one stands for those before it.
        let before = process.confirmed;
        process.confirmed = before.max(position);
        self.measure(number, before, position);
        self.subscriber_event(number, SubscriberEvent::Applied(position));
    }

    /// When a subscriber could last be reached again; nothing if it can't be now.
    fn reachable_since(&self, number: usize) -> Option<Micros> {
        let region = Node::Subscriber(number).region();
        let home = Node::Publisher.region();
        if self.publisher.is_none() || !self.net.reach(region, home) {
            return None;
        }
        let since = self.subscribers[number].started_at.max(self.publisher_up_since);
        Some(since.max(self.region_since[region]))
    }

    fn measure(&mut self, number: usize, before: Position, position: Position) {
        let healed = self.subscribers[number].healing.take_if(|(_, head)| *head <= position);
        let Some(since) = self.reachable_since(number) else { return };
        let now = self.net.now;
        // What is not newer than the base was never under way.
        let first = before.max(self.history.base().0).revision + 1;
        for revision in first..=position.revision {
            let proposed_at = self.history.proposed_at(Position { revision, ..position });
            self.times.record((now - proposed_at.max(since)).div_ceil(1_000));
        }
        if let Some((at, _)) = healed {
            let healed_ms = (now - at.max(since)).div_ceil(1_000);
            self.report.heal_ms_max = self.report.heal_ms_max.max(healed_ms);
        }
    }

    /// A subscriber that nothing newer can have reached since the cut has to say so, less what was on its
    /// way.
    fn check_ages(&mut self, region: usize, cut_for: Micros) {
        let now_ms = self.now_ms();
        let least = (cut_for / 1_000).saturating_sub(AGE_TOLERANCE_MS);
        let home = Node::Publisher.region();
        for (number, process) in self.subscribers.iter().enumerate() {
            let own = Node::Subscriber(number).region();
            let old = self.net.now - process.started_at >= AGE_TOLERANCE_MS * 1_000;
            let cut_off = old && own != home && (region == own || region == home);
            let age = process.machine.as_ref().and_then(|machine| machine.age_ms(now_ms));
            self.report.age_understated += u64::from(cut_off && age.is_some_and(|age| age < least));
        }
    }

    pub fn heal(&mut self, region: usize, cut_for: Micros) {
        self.check_ages(region, cut_for);
        self.net.cut.retain(|cut| *cut != region);
        let home = Node::Publisher.region();
        for other in 0..self.region_since.len() {
            if (region == other || region == home) && self.net.reach(other, home) {
                self.region_since[other] = self.net.now;
            }
        }
        self.reached_again(|other| region == other || region == home);
    }

    /// Subscribers in these regions should soon have what is published now.
    pub fn reached_again(&mut self, regions: impl Fn(usize) -> bool) {
        let head = self.history.head();
        for (number, process) in self.subscribers.iter_mut().enumerate() {
            let behind = process.machine.is_some() && process.confirmed < head;
            if behind && process.healing.is_none() && regions(Node::Subscriber(number).region()) {
                process.healing = Some((self.net.now, head));
            }
        }
    }

    /// Whether the publisher knows of every zone and subscriber that all is in force.
    fn all_zones_known(&self) -> bool {
        let head = self.history.head();
        let zones = self.publisher.as_ref().map(Publisher::least_in_force).unwrap_or_default();
        let known = zones.iter().filter(|zone| zone.least == head).count();
        let subscribers: u32 = zones.iter().map(|zone| zone.subscribers).sum();
        known == ZONES && subscribers as usize == self.subscribers.len()
    }

    fn look_at_zones(&mut self) {
        if self.all_zones_known() {
            self.all_known_at = self.net.now;
            return;
        }
        let not_known_for = self.net.now - self.all_known_at.max(LOOKS_FROM);
        self.report.zones_not_known += u64::from(not_known_for > NOT_KNOWN_LIMIT);
    }

    fn judge_end(&mut self) {
        for process in &self.subscribers {
            process.judge_end(&self.history, &mut self.report);
        }
        self.report.changes = self.history.disk.len() as u64;
        self.report.bytes = self.net.bytes;
        self.times.fill(&mut self.report);
    }
}
