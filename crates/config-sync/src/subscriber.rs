//! The subscriber in a round server: a [`Follower`] whose table, the mirror, always follows the publisher, and a
//! [`Judge`] that says what of it can come in force.
//!
//! In force is the mirror but for the keys that are held back: a transaction that the judge refuses stays out whole, its
//! keys keep their old values, and a later transaction that touches such a key is judged anew. Where that is not
//! possible (a refused snapshot, or more keys held back than the settings allow) the subscriber stops: what is in force
//! stays as it is, at its position, while the mirror goes on. With each later step the whole difference is judged again,
//! and once it is accepted it comes in force in one step.

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

/// What the owner was told to put in force.
struct InForce {
    position: Position,
    published_unix_ms: u64,
    held_back: HeldBack,
    /// While stopped: the mirror as it was at `position`.
    stopped_at: Option<Table>,
    /// While stopped: the last reason that was reported.
    stop_reason: Option<Arc<str>>,
}

/// The subscriber in a round server.
pub struct Subscriber {
    follower: Follower,
    judge: Box<dyn Judge>,
    member: Arc<str>,
    zone: Arc<str>,
    max_held_back: usize,
    in_force: InForce,
    /// The last position that the owner confirmed.
    applied: Position,
    waiting_records: WaitingRecords,
    reporter: ProgressReporter,
    counters: SubscriberCounters,
    /// Kept to spare an allocation for each event.
    follower_actions: Vec<FollowerAction>,
}

impl Subscriber {
    /// Begins with the state that was kept, if there is one: it comes in force at once, before any server is asked.
    pub fn new(
        settings: SubscriberSettings,
        judge: Box<dyn Judge>,
        kept: Option<PersistedState>,
        now: Millis,
        actions: &mut Vec<SubscriberAction>,
    ) -> Subscriber {
        let kept = kept.unwrap_or_default();
        let mut subscriber = Subscriber::watching_from(settings, judge, &kept, now);
        if kept.position != Position::default() {
            subscriber.restore(kept, actions);
        }
        subscriber
    }

    /// Goes on from a state that the owner has in force already, for owners that keep the state of many subscribers in
    /// one place: nothing is judged or handed out until something changes.
    pub fn resume(
        settings: SubscriberSettings,
        judge: Box<dyn Judge>,
        kept: &PersistedState,
        now: Millis,
    ) -> Subscriber {
        let mut subscriber = Subscriber::watching_from(settings, judge, kept, now);
        subscriber.take_kept(kept);
        subscriber.applied = kept.position;
        subscriber
    }

    /// A subscriber whose link goes on from `kept`, with nothing in force.
    fn watching_from(
        settings: SubscriberSettings,
        judge: Box<dyn Judge>,
        kept: &PersistedState,
        now: Millis,
    ) -> Subscriber {
        let member = settings.follower.member.name.clone();
        let zone = settings.follower.member.zone.clone();
        Subscriber {
            follower: Follower::new(settings.follower, now, kept.position, kept.mirror.clone()),
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

    /// Takes an event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Millis, event: SubscriberEvent, actions: &mut Vec<SubscriberAction>) {
        match event {
            SubscriberEvent::Link(event) => self.on_link(now, event, actions),
            SubscriberEvent::Applied(position) => self.on_applied(position, actions),
        }
        self.report(now, actions);
    }

    /// When the next tick is needed at the latest.
    pub fn deadline(&self) -> Millis {
        let report = if self.follower.is_open() { self.reporter.deadline() } else { Millis::MAX };
        self.follower.deadline().min(report)
    }

    /// The link and the mirror.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The last position that the owner confirmed.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// How long ago it last knew itself at the head of its server.
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.follower.age_ms(now)
    }

    /// The keys that are held back.
    pub fn held_back(&self) -> usize {
        self.in_force.held_back.len()
    }

    /// Whether it takes no changes because they can't be held back key by key.
    pub fn is_stopped(&self) -> bool {
        self.in_force.stopped_at.is_some()
    }

    /// The value that the owner was last told to have in force for `key`.
    pub fn in_force(&self, key: &Key) -> Option<&Resource> {
        match self.in_force.held_back.get(key) {
            Some(value) => value,
            None => self.in_force.stopped_at.as_ref().unwrap_or(self.follower.table()).get(key),
        }
    }

    /// Its counters.
    pub fn counters(&self) -> SubscriberCounters {
        self.counters
    }

    /// Steps of the mirror are computed together with others in this process; see [`SharedSteps`].
    pub fn share_steps(&mut self, steps: SharedSteps) {
        self.follower.share_steps(steps);
    }

    /// Takes over a table of equal digest for the mirror; see [`Follower::share_table`].
    pub fn share_table(&mut self, other: &Table) -> bool {
        self.follower.share_table(other)
    }

    fn on_link(&mut self, now: Millis, event: FollowerEvent, actions: &mut Vec<SubscriberAction>) {
        if matches!(event, FollowerEvent::Received(_)) {
            self.reporter.server_heard(now);
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
                self.take_transactions(before, &transactions, actions);
            }
            (Advance::Deltas { transactions, .. }, Some(stopped_at)) => {
                let published = transactions.last().map_or(0, |last| last.published_unix_ms);
                self.take_difference(stopped_at, published, actions);
            }
            (Advance::Snapshot { before, published_unix_ms, .. }, stopped_at) => {
                self.take_difference(stopped_at.unwrap_or(before), published_unix_ms, actions);
            }
        }
    }

    /// Judges all that differs between `base` and the mirror as one change.
    fn take_difference(&mut self, base: Table, published_unix_ms: u64, actions: &mut Vec<SubscriberAction>) {
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

    /// What can come in force of the difference: with the keys that are held back, since a snapshot does not say which
    /// of them were set again to the same value; or, where that is refused, without them.
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

    /// The old state stays; the reason is reported when it is not the one that was reported last.
    fn refuse_difference(&mut self, base: Table, reason: &str) {
        self.counters.refused_differences += 1;
        self.in_force.stopped_at = Some(base);
        if self.in_force.stop_reason.as_deref() != Some(reason) {
            self.in_force.stop_reason = Some(reason.into());
            self.refuse(self.follower.position(), reason);
        }
    }

    /// Takes the kept state: its mirror is the follower's already.
    fn restore(&mut self, kept: PersistedState, actions: &mut Vec<SubscriberAction>) {
        let mut table = kept.mirror.clone();
        table.apply(&kept.held_back);
        let changes: Vec<Change> = table.iter().cloned().map(Change::Put).collect();
        if let Err(rejection) = self.judge.judge(&changes) {
            self.refuse_difference(Table::new(), rejection.reason());
            return;
        }
        self.take_kept(&kept);
        self.put_in_force(changes, actions);
    }

    fn take_kept(&mut self, kept: &PersistedState) {
        self.in_force.held_back = HeldBack::from_changes(&kept.held_back);
        self.in_force.position = kept.position;
        self.in_force.published_unix_ms = kept.published_unix_ms;
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
        self.reporter.refuse(Refusal { member: self.member.clone(), position, reason });
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
