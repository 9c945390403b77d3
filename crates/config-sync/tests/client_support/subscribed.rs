//! A subscriber with its clock, a judge with configurable refusals, and the settings that its owner has in
//! force.

use super::{History, at, member, server, value};
use dunlinspread_config_sync::client::{Judge, Rejection, Update};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::message::{Refusal, ToClient, ToServer, ZoneProgress};
use dunlinspread_config_sync::resource::{Change, Millis, Position, Resource};
use dunlinspread_config_sync::subscriber::{
    Persist, PersistedState, Subscriber, SubscriberAction, SubscriberEvent, SubscriberSettings,
};
use dunlinspread_config_sync::table::Table;
use std::sync::{Arc, Mutex};

/// A judge that refuses each allowance that is 13 more than a multiple of 100, or all changes while
/// `refuses_all` is set.
#[derive(Clone, Default)]
pub struct TestJudge {
    pub refuses_all: Arc<Mutex<bool>>,
}

impl TestJudge {
    pub fn refuse_all(&self, refuse: bool) {
        *self.refuses_all.lock().expect("no panic while held") = refuse;
    }
}

pub fn is_refused(milli_per_second: u64) -> bool {
    milli_per_second % 100 == 13
}

impl Judge for TestJudge {
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection> {
        if *self.refuses_all.lock().expect("no panic while held") {
            return Err(Rejection::new("refuses all"));
        }
        for change in changes {
            if let Change::Put(Resource::TenantAllowance { tenant, milli_per_second }) = change {
                if is_refused(*milli_per_second) {
                    return Err(Rejection::new(format!("tenant `{tenant}`: {milli_per_second}")));
                }
            }
        }
        Ok(())
    }
}

/// A subscriber and its owner. The owner applies each update immediately and confirms it if `confirms` is
/// set.
pub struct Subscribed {
    pub subscriber: Subscriber,
    pub judge: TestJudge,
    pub now: Millis,
    pub confirms: bool,
    /// Settings that the owner has in force.
    pub settings: Table,
    pub updates: Vec<Update>,
    pub reports: Vec<ZoneProgress>,
    pub refusals: Vec<Refusal>,
    /// State stored on disk.
    pub disk: PersistedState,
    pub records: usize,
    pub links: Vec<LinkAction>,
}

pub fn settings() -> SubscriberSettings {
    let servers = vec![server("relay-1", Some("a1"), "a")];
    SubscriberSettings::new(FollowerSettings::new(member("server-1", "a1", "a"), servers, 7))
}

impl Subscribed {
    pub fn start(settings: SubscriberSettings, disk: Option<PersistedState>) -> Subscribed {
        Subscribed::start_with(settings, disk, TestJudge::default())
    }

    pub fn start_with(
        settings: SubscriberSettings,
        disk: Option<PersistedState>,
        judge: TestJudge,
    ) -> Subscribed {
        let mut out = Vec::new();
        let subscriber = Subscriber::new(settings, Box::new(judge.clone()), disk.clone(), 0, &mut out);
        let mut subscribed = Subscribed {
            subscriber,
            judge,
            now: 0,
            confirms: true,
            settings: Table::new(),
            updates: Vec::new(),
            reports: Vec::new(),
            refusals: Vec::new(),
            disk: disk.unwrap_or_default(),
            records: 0,
            links: Vec::new(),
        };
        subscribed.carry_out(out);
        subscribed
    }

    /// Returns a subscriber that is connected to a server and has received all of `history`.
    pub fn at_head_of(history: &History, settings: SubscriberSettings) -> Subscribed {
        let mut subscribed = Subscribed::start(settings, None);
        subscribed.connect();
        subscribed.fetch(history);
        subscribed
    }

    pub fn connect(&mut self) {
        while !self.links.iter().any(|action| matches!(action, LinkAction::Connect(_))) {
            self.now = self.now.max(self.subscriber.deadline());
            self.link(FollowerEvent::Tick);
        }
        self.links.clear();
        self.link(FollowerEvent::Connected);
    }

    /// Sends a `Resync`, and a snapshot of `history` in answer to the subscriber's `FetchDifferences`.
    pub fn fetch(&mut self, history: &History) {
        self.receive(ToClient::Resync { head: history.position });
        let fetched = self.links.iter().rev().find_map(|action| match action {
            LinkAction::Send(ToServer::FetchDifferences { bucket_digests }) => Some(bucket_digests.clone()),
            _ => None,
        });
        for message in history.snapshot(&fetched.expect("`Resync` is answered with `FetchDifferences`")) {
            self.receive(message);
        }
    }

    pub fn receive(&mut self, message: ToClient) {
        self.link(FollowerEvent::Received(message));
    }

    pub fn link(&mut self, event: FollowerEvent) {
        self.event(SubscriberEvent::Link(event));
    }

    pub fn event(&mut self, event: SubscriberEvent) {
        let mut out = Vec::new();
        self.subscriber.on_event(self.now, event, &mut out);
        self.carry_out(out);
    }

    /// Confirms every update that the owner has applied.
    pub fn confirm(&mut self) {
        let position = self.updates.last().map_or(Position::default(), |update| update.position);
        self.event(SubscriberEvent::Applied(position));
    }

    pub fn advance_clock(&mut self, duration: Millis) {
        self.now += duration;
        self.link(FollowerEvent::Tick);
    }

    fn carry_out(&mut self, actions: Vec<SubscriberAction>) {
        for action in actions {
            match action {
                SubscriberAction::Link(LinkAction::Send(ToServer::Progress { zones, refusals })) => {
                    assert_eq!(zones.len(), 1);
                    self.reports.extend(zones);
                    self.refusals.extend(refusals);
                }
                SubscriberAction::Link(action) => self.links.push(action),
                SubscriberAction::InForce(update) => self.apply(update),
                SubscriberAction::Persist(record) => self.persist(&record),
            }
        }
    }

    fn apply(&mut self, update: Update) {
        let position = update.position;
        self.settings.apply(&update.changes);
        self.updates.push(update);
        if self.confirms {
            self.event(SubscriberEvent::Applied(position));
        }
    }

    fn persist(&mut self, record: &Persist) {
        self.records += 1;
        self.disk.apply(record);
    }

    /// Returns the allowance that the owner has in force for a tenant, or 0 if there is none. Panics if the
    /// subscriber reports another one.
    pub fn tenant(&self, tenant: &str) -> u64 {
        let key = super::tenant_key(tenant);
        assert_eq!(self.settings.get(&key), self.subscriber.in_force(&key), "{tenant}");
        value(self.settings.get(&key))
    }

    pub fn last_report(&self) -> &ZoneProgress {
        self.reports.last().expect("a report")
    }

    pub fn in_force_at(&self) -> Position {
        self.updates.last().map_or(at(0, 0), |update| update.position)
    }
}
