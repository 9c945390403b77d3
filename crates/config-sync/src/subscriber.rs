//! The subscriber in a round server: a [`Follower`] whose table, the mirror, always follows the publisher,
//! and a [`Judge`] that decides which changes can come in force.
//!
//! The settings in force are the mirror except for the keys that are held back: a transaction that the judge
//! refuses is held back as a whole, its keys keep their old values, and a later transaction that changes such
//! a key is judged again. Where that is not possible (a refused snapshot, or more keys held back than the
//! settings allow) the subscriber stops: the settings in force stay as they are, at their position, while the
//! mirror continues to advance. At each later step the whole difference is judged again, and once it is
//! accepted it comes in force in one step.

mod api;
mod confirmed;
mod held_back;
mod persistence;
mod reason;
mod transactions;

pub use api::{SubscriberAction, SubscriberCounters, SubscriberEvent, SubscriberSettings};
pub use persistence::{Persist, PersistedState};

use crate::follower::{Advance, Follower, FollowerAction, FollowerEvent, LinkAction};
use crate::judge::{Judge, Rejection};
use crate::message::{Refusal, ToServer, ZoneProgress};
use crate::progress::ProgressReporter;
use crate::resource::{Change, Key, Millis, Position, Resource};
use crate::shared_steps::SharedSteps;
use crate::table::Table;
use crate::update::Update;
use held_back::HeldBack;
use persistence::WaitingRecords;
use reason::reported_reason;
use std::sync::Arc;

/// The settings that the owner was requested to put in force.
struct InForce {
    position: Position,
    published_unix_ms: u64,
    held_back: HeldBack,
    /// While stopped: the mirror at `position`.
    stopped_at: Option<Table>,
    /// While stopped: the last reported reason.
    stop_reason: Option<Arc<str>>,
}

/// State machine of the subscriber in a round server.
pub struct Subscriber {
    follower: Follower,
    judge: Box<dyn Judge>,
    member: Arc<str>,
    zone: Arc<str>,
    max_held_back: usize,
    in_force: InForce,
    /// Last position that the owner confirmed.
    applied: Position,
    waiting_records: WaitingRecords,
    reporter: ProgressReporter,
    counters: SubscriberCounters,
    /// Buffer that is reused to avoid an allocation per event.
    follower_actions: Vec<FollowerAction>,
}

impl Subscriber {
    /// Creates a subscriber with the persisted state, if there is one: it comes in force at once, before any
    /// server is contacted.
    pub fn new(
        settings: SubscriberSettings,
        judge: Box<dyn Judge>,
        persisted: Option<PersistedState>,
        now: Millis,
        actions: &mut Vec<SubscriberAction>,
    ) -> Subscriber {
        let persisted = persisted.unwrap_or_default();
        let mut subscriber = Subscriber::watching_from(settings, judge, &persisted, now);
        if persisted.position != Position::default() {
            subscriber.restore(persisted, actions);
        }
        subscriber
    }

    /// Creates a subscriber that continues from a state that the owner already has in force, for owners that
    /// keep the state of many subscribers in one place: nothing is judged or put in force until something
    /// changes.
    pub fn resume(
        settings: SubscriberSettings,
        judge: Box<dyn Judge>,
        persisted: &PersistedState,
        now: Millis,
    ) -> Subscriber {
        let mut subscriber = Subscriber::watching_from(settings, judge, persisted, now);
        subscriber.load_persisted(persisted);
        subscriber.applied = persisted.position;
        subscriber
    }

    /// Creates a subscriber whose link continues from `persisted`, with nothing in force.
    fn watching_from(
        settings: SubscriberSettings,
        judge: Box<dyn Judge>,
        persisted: &PersistedState,
        now: Millis,
    ) -> Subscriber {
        let member = settings.follower.member.name.clone();
        let zone = settings.follower.member.zone.clone();
        Subscriber {
            follower: Follower::new(settings.follower, now, persisted.position, persisted.mirror.clone()),
            judge,
            member,
            zone,
            max_held_back: settings.max_held_back,
            in_force: InForce {
                position: Position::default(),
                published_unix_ms: 0,
                held_back: HeldBack::default(),
                stopped_at: None,
                stop_reason: None,
            },
            applied: Position::default(),
            waiting_records: WaitingRecords::default(),
            reporter: ProgressReporter::new(settings.progress_ms),
            counters: SubscriberCounters::default(),
            follower_actions: Vec::new(),
        }
    }

    /// Handles an event and appends the resulting actions, in order.
    pub fn on_event(&mut self, now: Millis, event: SubscriberEvent, actions: &mut Vec<SubscriberAction>) {
        match event {
            SubscriberEvent::Link(event) => self.on_link(now, event, actions),
            SubscriberEvent::Applied(position) => self.on_applied(position, actions),
        }
        self.report(now, actions);
    }

    /// Returns when the next [`FollowerEvent::Tick`] is required at the latest.
    pub fn deadline(&self) -> Millis {
        let report = if self.follower.is_open() { self.reporter.deadline() } else { Millis::MAX };
        self.follower.deadline().min(report)
    }

    /// Returns the follower, which holds the link and the mirror.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Returns the last position that the owner confirmed.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Returns how long ago the mirror was last known to be at the publisher's head, ms; see
    /// [`Follower::age_ms`].
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.follower.age_ms(now)
    }

    /// Returns the number of keys that are held back.
    pub fn held_back(&self) -> usize {
        self.in_force.held_back.len()
    }

    /// Returns whether no changes come in force because they can't be held back key by key.
    pub fn is_stopped(&self) -> bool {
        self.in_force.stopped_at.is_some()
    }

    /// Returns the value for `key` that the owner was last requested to put in force.
    pub fn in_force(&self, key: &Key) -> Option<&Resource> {
        match self.in_force.held_back.get(key) {
            Some(value) => value,
            None => self.in_force.stopped_at.as_ref().unwrap_or(self.follower.table()).get(key),
        }
    }

    /// Returns the subscriber's counters.
    pub fn counters(&self) -> SubscriberCounters {
        self.counters
    }

    /// Shares the computation of the mirror's steps with others in this process; see [`SharedSteps`].
    pub fn share_steps(&mut self, steps: SharedSteps) {
        self.follower.share_steps(steps);
    }

    /// Replaces the mirror by a table of equal digest; see [`Follower::share_table`].
    pub fn share_table(&mut self, other: &Table) -> bool {
        self.follower.share_table(other)
    }

    fn on_link(&mut self, now: Millis, event: FollowerEvent, actions: &mut Vec<SubscriberAction>) {
        if matches!(event, FollowerEvent::Received(_)) {
            self.reporter.on_server_message(now);
        }
        let mut follower_actions = std::mem::take(&mut self.follower_actions);
        self.follower.on_event(now, event, &mut follower_actions);
        for action in follower_actions.drain(..) {
            match action {
                FollowerAction::Link(action) => {
                    if matches!(action, LinkAction::Send(ToServer::Watch { .. })) {
                        self.reporter.session_opened(now);
                    }
                    actions.push(SubscriberAction::Link(action));
                }
                FollowerAction::Advanced(advance) => self.on_advance(advance, actions),
            }
        }
        self.follower_actions = follower_actions;
    }

    fn on_applied(&mut self, position: Position, actions: &mut Vec<SubscriberAction>) {
        if position > self.in_force.position || position < self.applied {
            return;
        }
        self.applied = position;
        while let Some(record) = self.waiting_records.pop(position) {
            actions.push(SubscriberAction::Persist(record));
        }
    }

    fn on_advance(&mut self, advance: Advance, actions: &mut Vec<SubscriberAction>) {
        let stopped_at = self.in_force.stopped_at.take();
        match (advance, stopped_at) {
            (Advance::Deltas { before, transactions }, None) => {
                self.judge_transactions(before, &transactions, actions);
            }
            (Advance::Deltas { transactions, .. }, Some(stopped_at)) => {
                let published = transactions.last().map_or(0, |last| last.published_unix_ms);
                self.judge_difference(stopped_at, published, actions);
            }
            (Advance::Snapshot { before, published_unix_ms, .. }, stopped_at) => {
                self.judge_difference(stopped_at.unwrap_or(before), published_unix_ms, actions);
            }
        }
    }

    /// Judges all differences between `base` and the mirror together.
    fn judge_difference(&mut self, base: Table, published_unix_ms: u64, actions: &mut Vec<SubscriberAction>) {
        let changes = match self.acceptable_difference(&base) {
            Ok(changes) => changes,
            Err(rejection) => return self.refuse_difference(base, rejection.reason()),
        };
        self.in_force.held_back.release(&changes);
        self.in_force.stop_reason = None;
        self.in_force.position = self.follower.position();
        self.in_force.published_unix_ms = published_unix_ms;
        let record = Persist::Replace(self.in_force.to_persisted(self.follower.table()));
        self.waiting_records.push(self.in_force.position, record, PersistedState::default);
        self.put_in_force(changes, actions);
    }

    /// Returns the changes of the difference that can come in force: with the keys that are held back, since
    /// a snapshot does not tell which of them were set again to the same value; or, if that is refused,
    /// without them.
    fn acceptable_difference(&self, base: &Table) -> Result<Vec<Change>, Rejection> {
        let mirror = self.follower.table();
        let changes = base.changes_to(mirror);
        if !self.in_force.held_back.is_empty() {
            let mut with_held_back = changes.clone();
            with_held_back.extend(self.in_force.held_back.changes_to(mirror, &changes));
            if self.judge.judge(&with_held_back).is_ok() {
                return Ok(with_held_back);
            }
        }
        if !changes.is_empty() {
            self.judge.judge(&changes)?;
        }
        Ok(changes)
    }

    /// Keeps the old state in force, and reports the reason if it differs from the last reported one.
    fn refuse_difference(&mut self, base: Table, reason: &str) {
        self.counters.refused_differences += 1;
        self.in_force.stopped_at = Some(base);
        if self.in_force.stop_reason.as_deref() != Some(reason) {
            self.in_force.stop_reason = Some(reason.into());
            self.refuse(self.follower.position(), reason);
        }
    }

    /// Judges the persisted state and puts it in force; its mirror is already the follower's table.
    fn restore(&mut self, persisted: PersistedState, actions: &mut Vec<SubscriberAction>) {
        let mut table = persisted.mirror.clone();
        table.apply(&persisted.held_back);
        let changes: Vec<Change> = table.iter().cloned().map(Change::Put).collect();
        if let Err(rejection) = self.judge.judge(&changes) {
            self.refuse_difference(Table::new(), rejection.reason());
            return;
        }
        self.load_persisted(&persisted);
        self.put_in_force(changes, actions);
    }

    fn load_persisted(&mut self, persisted: &PersistedState) {
        self.in_force.held_back = HeldBack::from_changes(&persisted.held_back);
        self.in_force.position = persisted.position;
        self.in_force.published_unix_ms = persisted.published_unix_ms;
    }

    fn put_in_force(&mut self, changes: Vec<Change>, actions: &mut Vec<SubscriberAction>) {
        self.counters.updates += 1;
        actions.push(SubscriberAction::InForce(Update {
            position: self.in_force.position,
            changes,
            published_unix_ms: self.in_force.published_unix_ms,
        }));
    }

    fn refuse(&mut self, position: Position, reason: &str) {
        let reason = reported_reason(reason).into();
        self.reporter.queue_refusal(Refusal { member: self.member.clone(), position, reason });
    }

    fn report(&mut self, now: Millis, actions: &mut Vec<SubscriberAction>) {
        if !self.follower.is_open() {
            return;
        }
        let refusing = !self.in_force.held_back.is_empty() || self.is_stopped();
        let progress = ZoneProgress {
            zone: self.zone.clone(),
            subscribers: 1,
            least: self.applied,
            refusing: u32::from(refusing),
        };
        if let Some(message) = self.reporter.report(now, || vec![progress]) {
            actions.push(SubscriberAction::Link(LinkAction::Send(message)));
        }
    }
}

impl InForce {
    fn to_persisted(&self, mirror: &Table) -> PersistedState {
        PersistedState {
            position: self.position,
            published_unix_ms: self.published_unix_ms,
            mirror: mirror.clone(),
            held_back: self.held_back.to_changes(),
        }
    }
}
