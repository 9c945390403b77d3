//! The simulation run: proposals, delivery of events, and measurements.

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
/// Time within which all processes start.
const START: Micros = 3 * SECOND;
/// Time at which the last change is proposed.
const LOAD_END: Micros = 48 * SECOND;
/// End of the run. All faults have healed by then and all processes have caught up.
const END: Micros = 70 * SECOND;
/// Time from which the run measures for how long the publisher does not know that all changes are in force in
/// all zones. A relay that tries a nearer server is missing only for a moment.
const CHECKS_FROM: Micros = END - 15 * SECOND;
/// Limit of that duration: the time of a few reports, far less than a failed attempt at a nearer server
/// takes.
const NOT_KNOWN_LIMIT: Micros = 2 * SECOND;
/// Tolerance of reported ages: two heartbeats, which a subscriber new to a server may still wait for, and the
/// latencies.
const AGE_TOLERANCE_MS: u64 = 2_500;
/// Number of changes at random times.
const CHANGES: usize = 24;
/// Number of further changes within one second.
const BURST: usize = 20;

pub struct World {
    pub net: Network,
    pub history: History,
    pub publisher: Option<Publisher>,
    pub publisher_starts: u64,
    pub publisher_up_since: Micros,
    /// Transactions given to the disk and not durable yet, with the times of their proposals.
    pub under_way: VecDeque<(Arc<Transaction>, Micros)>,
    /// Injects a fault that the checks must detect: changes are reported as durable before they are written.
    pub reports_before_durable: bool,
    pub relays: Vec<RelayProcess>,
    pub subscribers: Vec<SubscriberProcess>,
    /// Time of each node's next tick.
    pub armed: BTreeMap<Node, Micros>,
    /// Time since which each region can reach the publisher's region.
    region_since: Vec<Micros>,
    /// Last time, from [`CHECKS_FROM`] on, at which the publisher knew that all changes are in force in every
    /// zone.
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
            reports_before_durable: false,
            relays: (0..RELAYS).map(|_| RelayProcess::default()).collect(),
            subscribers: processes,
            armed: BTreeMap::new(),
            region_since: vec![0; super::topology::REGIONS],
            all_known_at: 0,
            report: Report { seed, subscribers, relays: RELAYS, ..Report::default() },
            times: Times::new(),
        }
    }

    pub fn run(mut self) -> Report {
        self.schedule_starts();
        self.schedule_changes();
        self.schedule_faults();
        while let Some(event) = self.net.pop(END) {
            self.report.events += 1;
            self.handle(event);
            if self.net.now >= CHECKS_FROM {
                self.check_zones();
            }
        }
        self.check_end();
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
            Event::Connected(id) => self.deliver_to_client(id, FollowerEvent::Connected),
            Event::ConnectFailed(id) => self.deliver_to_client(id, FollowerEvent::ConnectFailed),
            Event::ToClient(id, message) => {
                self.deliver_to_client(id, FollowerEvent::Received((*message).clone()));
            }
            Event::ClosedForClient(id) => self.deliver_to_client(id, FollowerEvent::Disconnected),
            Event::ToServer(id, message) => {
                self.deliver_to_server(id, FanoutEvent::Received(SessionId(id), message));
            }
            Event::ClosedForServer(id) => self.closed_for_server(id),
            Event::Drained(id) if self.net.is_drained(id) => {
                self.deliver_to_server(id, FanoutEvent::Backlog { session: SessionId(id), bytes: 0 });
            }
            Event::Drained(_) => {}
            Event::Durable(starts, position) => self.on_durable(starts, position),
            Event::Applied(number, starts, position) => self.on_applied(number, starts, position),
            Event::Propose => self.propose(),
            Event::Fault(kind) => self.fault(kind),
            Event::Start(node) if !self.is_up(node) => self.start(node),
            Event::Start(_) => {}
            Event::Heal(region, cut_for) => self.heal(region, cut_for),
            Event::SpeedUp(id) => self.net.set_slow(id, false),
        }
    }

    /// Handles a client's connection attempt at its server; a process that is down refuses it.
    fn attempt(&mut self, id: ConnectionId) {
        let Some(connection) = self.net.connections.get(&id) else { return };
        if connection.dead || !connection.client_open {
            return;
        }
        let server = connection.server;
        if !self.is_up(server) {
            self.net.schedule_at_client(id, 0, Event::ConnectFailed(id));
            return;
        }
        if let Some(connection) = self.net.connections.get_mut(&id) {
            connection.server_open = true;
        }
        self.net.schedule_at_client(id, 0, Event::Connected(id));
        self.server_event(server, FanoutEvent::Opened(SessionId(id)));
    }

    fn deliver_to_server(&mut self, id: ConnectionId, event: FanoutEvent) {
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
        publisher.propose(now_ms, changes, &mut out).expect("a valid proposal");
        self.publisher_actions(out);
    }

    fn on_durable(&mut self, starts: u64, position: Position) {
        if starts != self.publisher_starts {
            return;
        }
        while self.under_way.front().is_some_and(|(first, _)| first.position <= position) {
            let (transaction, proposed_at) = self.under_way.pop_front().expect("the front is present");
            self.history.push(transaction, proposed_at);
        }
        self.report_durable(position);
    }

    pub fn report_durable(&mut self, position: Position) {
        let now_ms = self.now_ms();
        let Some(publisher) = &mut self.publisher else { return };
        let mut out = Vec::new();
        publisher.on_durable(now_ms, position, &mut out);
        self.publisher_actions(out);
    }

    fn on_applied(&mut self, number: usize, starts: u64, position: Position) {
        let process = &mut self.subscribers[number];
        if process.starts != starts || process.machine.is_none() {
            return;
        }
        // Confirmations can overtake each other; a later one includes those before it.
        let before = process.confirmed;
        process.confirmed = before.max(position);
        self.measure(number, before, position);
        self.subscriber_event(number, SubscriberEvent::Applied(position));
    }

    /// Returns the time since which a subscriber is reachable, or `None` if it is not reachable now.
    fn reachable_since(&self, number: usize) -> Option<Micros> {
        let region = Node::Subscriber(number).region();
        let home = Node::Publisher.region();
        if self.publisher.is_none() || !self.net.are_connected(region, home) {
            return None;
        }
        let since = self.subscribers[number].started_at.max(self.publisher_up_since);
        Some(since.max(self.region_since[region]))
    }

    fn measure(&mut self, number: usize, before: Position, position: Position) {
        let healed = self.subscribers[number].healing.take_if(|(_, head)| *head <= position);
        let Some(since) = self.reachable_since(number) else { return };
        let now = self.net.now;
        // Positions up to the base were never distributed, so they are not measured.
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

    /// Checks that each subscriber that the cut kept from newer changes reports an age of at least the cut's
    /// duration, less the tolerance.
    fn check_ages(&mut self, region: usize, cut_for: Micros) {
        let now_ms = self.now_ms();
        let min_age_ms = (cut_for / 1_000).saturating_sub(AGE_TOLERANCE_MS);
        let home = Node::Publisher.region();
        for (number, process) in self.subscribers.iter().enumerate() {
            let own = Node::Subscriber(number).region();
            let is_old_enough = self.net.now - process.started_at >= AGE_TOLERANCE_MS * 1_000;
            let was_cut_off = is_old_enough && own != home && (region == own || region == home);
            let age = process.machine.as_ref().and_then(|machine| machine.age_ms(now_ms));
            self.report.age_understated += u64::from(was_cut_off && age.is_some_and(|age| age < min_age_ms));
        }
    }

    pub fn heal(&mut self, region: usize, cut_for: Micros) {
        self.check_ages(region, cut_for);
        self.net.cut.retain(|cut| *cut != region);
        let home = Node::Publisher.region();
        for other in 0..self.region_since.len() {
            if (region == other || region == home) && self.net.are_connected(other, home) {
                self.region_since[other] = self.net.now;
            }
        }
        self.mark_reachable(|other| region == other || region == home);
    }

    /// Marks the subscribers of these regions as reachable again, to measure when they have the changes
    /// published so far.
    pub fn mark_reachable(&mut self, regions: impl Fn(usize) -> bool) {
        let head = self.history.head();
        for (number, process) in self.subscribers.iter_mut().enumerate() {
            let behind = process.machine.is_some() && process.confirmed < head;
            if behind && process.healing.is_none() && regions(Node::Subscriber(number).region()) {
                process.healing = Some((self.net.now, head));
            }
        }
    }

    /// Returns whether the publisher knows that all changes are in force in every zone and subscriber.
    fn all_zones_known(&self) -> bool {
        let head = self.history.head();
        let zones = self.publisher.as_ref().map(Publisher::least_in_force).unwrap_or_default();
        let known = zones.iter().filter(|zone| zone.least == head).count();
        let subscribers: u32 = zones.iter().map(|zone| zone.subscribers).sum();
        known == ZONES && subscribers as usize == self.subscribers.len()
    }

    fn check_zones(&mut self) {
        if self.all_zones_known() {
            self.all_known_at = self.net.now;
            return;
        }
        let not_known_for = self.net.now - self.all_known_at.max(CHECKS_FROM);
        self.report.zones_not_known += u64::from(not_known_for > NOT_KNOWN_LIMIT);
    }

    fn check_end(&mut self) {
        for process in &self.subscribers {
            process.check_end(&self.history, &mut self.report);
        }
        self.report.changes = self.history.disk.len() as u64;
        self.report.bytes = self.net.bytes;
        self.times.fill(&mut self.report);
    }
}
