//! A relay between its upstream server and its clients.

mod client_support;

use client_support::{History, at, member, server};
use dunlinspread_config_sync::fanout::{FanoutAction, FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings, LinkAction};
use dunlinspread_config_sync::message::{MAX_AGE_MS, Refusal, Role, ToClient, ToServer, ZoneProgress};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use dunlinspread_config_sync::resource::{Digest, Millis, Position};
use std::sync::Arc;

/// A relay with its clock and the messages that it sent upstream and downstream.
struct Relayed {
    relay: Relay,
    now: Millis,
    up: Vec<LinkAction>,
    down: Vec<(SessionId, Arc<ToClient>)>,
}

fn history() -> History {
    let mut history = History::new(1);
    history.grow(20);
    history
}

impl Relayed {
    fn new() -> Relayed {
        let member =
            dunlinspread_config_sync::message::Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
        let follower = FollowerSettings::new(member, vec![server("publisher", None, "a")], 3);
        let settings = RelaySettings::new(follower, FanoutSettings::default());
        Relayed { relay: Relay::new(settings, 0), now: 0, up: Vec::new(), down: Vec::new() }
    }

    /// Returns a relay that has received all of `history` from the publisher.
    fn at_head_of(history: &History) -> Relayed {
        let mut relayed = Relayed::new();
        relayed.connect();
        relayed.fetch(history);
        relayed.upstream_event(FollowerEvent::Received(history.heartbeat()));
        relayed
    }

    fn event(&mut self, event: RelayEvent) {
        let mut out = Vec::new();
        self.relay.on_event(self.now, event, &mut out);
        for action in out {
            match action {
                RelayAction::Upstream(action) => self.up.push(action),
                RelayAction::Downstream(FanoutAction::Send { session, message }) => {
                    self.down.push((session, message));
                }
                RelayAction::Downstream(FanoutAction::Close { session, reason }) => {
                    panic!("{session:?} was closed: {reason}")
                }
            }
        }
    }

    fn upstream_event(&mut self, event: FollowerEvent) {
        self.event(RelayEvent::Upstream(event));
    }

    fn downstream_event(&mut self, event: FanoutEvent) {
        self.event(RelayEvent::Downstream(event));
    }

    fn connect(&mut self) {
        while !self.up.iter().any(|action| matches!(action, LinkAction::Connect(_))) {
            self.now = self.now.max(self.relay.deadline());
            self.event(RelayEvent::Tick);
        }
        self.up.clear();
        self.upstream_event(FollowerEvent::Connected);
    }

    fn fetch(&mut self, history: &History) {
        self.upstream_event(FollowerEvent::Received(ToClient::Resync { head: history.position }));
        let digests = self.up.iter().rev().find_map(|action| match action {
            LinkAction::Send(ToServer::FetchDifferences { bucket_digests }) => Some(bucket_digests.clone()),
            _ => None,
        });
        for message in history.snapshot(&digests.expect("`Resync` is answered with `FetchDifferences`")) {
            self.upstream_event(FollowerEvent::Received(message));
        }
    }

    /// Connects a subscriber that has `position` and `digest`.
    fn watch(&mut self, session: u64, name: &str, zone: &str, position: Position, digest: Digest) {
        let session = SessionId(session);
        self.downstream_event(FanoutEvent::Opened(session));
        let member = member(name, zone, "a");
        self.downstream_event(FanoutEvent::Received(session, ToServer::Watch { member, position, digest }));
    }

    fn watch_at_head(&mut self, session: u64, name: &str, zone: &str, history: &History) {
        self.watch(session, name, zone, history.position, history.table.digest());
    }

    fn progress(&mut self, session: u64, zone: &str, least: Position, refusals: Vec<Refusal>) {
        let refusing = u32::from(!refusals.is_empty());
        let zones = vec![ZoneProgress { zone: zone.into(), subscribers: 1, least, refusing }];
        self.downstream_event(FanoutEvent::Received(
            SessionId(session),
            ToServer::Progress { zones, refusals },
        ));
    }

    fn advance_clock(&mut self, duration: Millis) {
        self.now += duration;
        self.event(RelayEvent::Tick);
    }

    fn reports(&mut self) -> Vec<(Vec<ZoneProgress>, Vec<Refusal>)> {
        let reports = self.up.drain(..).filter_map(|action| match action {
            LinkAction::Send(ToServer::Progress { zones, refusals }) => Some((zones, refusals)),
            _ => None,
        });
        reports.collect()
    }

    /// Returns the ages in the heartbeats sent to a session; panics if one has a head other than `head`.
    fn ages_sent_to(&self, session: u64, head: Position) -> Vec<Millis> {
        let own = self.down.iter().filter(|(to, _)| *to == SessionId(session));
        let ages = own.filter_map(|(_, message)| match **message {
            ToClient::Heartbeat { head: sent, age_ms } => {
                assert_eq!(sent, head);
                Some(age_ms)
            }
            _ => None,
        });
        ages.collect()
    }

    /// Removes all downstream messages and returns those of a session, without heartbeats.
    fn sent_to(&mut self, session: u64) -> Vec<Arc<ToClient>> {
        let down = std::mem::take(&mut self.down);
        let own = down.into_iter().filter(|(to, _)| *to == SessionId(session)).map(|(_, message)| message);
        own.filter(|message| !matches!(**message, ToClient::Heartbeat { .. })).collect()
    }
}

fn refusal(name: &str, position: Position) -> Refusal {
    Refusal { member: name.into(), position, reason: "no such class".into() }
}

#[test]
fn deltas_are_passed_on_at_once_and_once_for_all() {
    let mut history = history();
    let mut relayed = Relayed::at_head_of(&history);
    relayed.watch_at_head(1, "server-1", "a1", &history);
    relayed.watch_at_head(2, "server-2", "a1", &history);
    relayed.advance_clock(100);
    relayed.down.clear();
    let known = history.position;
    history.grow(3);
    relayed.upstream_event(FollowerEvent::Received(history.since(known)));
    let sent: Vec<_> = relayed.down.iter().map(|(session, _)| session.0).collect();
    assert_eq!(sent, [1, 2]);
    assert!(Arc::ptr_eq(&relayed.down[0].1, &relayed.down[1].1), "one message for both");
    assert_eq!(*relayed.down[0].1, history.since(known));
    assert_eq!(relayed.relay.fanout().head(), history.position);
}

#[test]
fn what_does_not_fit_is_not_passed_on() {
    let mut history = history();
    let mut relayed = Relayed::at_head_of(&history);
    relayed.watch_at_head(1, "server-1", "a1", &history);
    relayed.advance_clock(100);
    relayed.down.clear();
    let known = history.position;
    history.grow(2);
    let last = history.transactions.last().expect("a transaction").clone();
    relayed.upstream_event(FollowerEvent::Received(ToClient::Deltas(vec![last])));
    relayed.advance_clock(100);
    assert!(relayed.sent_to(1).is_empty());
    assert_eq!(relayed.relay.fanout().head(), known);
}

#[test]
fn progress_goes_up_by_zone_not_more_often_than_the_interval_and_only_when_changed() {
    let history = history();
    let mut relayed = Relayed::at_head_of(&history);
    for (session, zone) in [(1, "a1"), (2, "a1"), (3, "a2")] {
        relayed.watch_at_head(session, &format!("server-{session}"), zone, &history);
    }
    relayed.advance_clock(250);
    relayed.reports();
    relayed.progress(1, "a1", history.position, vec![]);
    relayed.progress(2, "a1", at(1, 19), vec![]);
    relayed.progress(3, "a2", history.position, vec![]);
    for _ in 0..24 {
        relayed.advance_clock(10);
    }
    relayed.advance_clock(10);
    let reports = relayed.reports();
    assert!(reports.len() <= 2, "{} reports in 250 ms", reports.len());
    let (zones, refusals) = reports.last().expect("a report");
    let reported: Vec<_> = zones.iter().map(|zone| (&*zone.zone, zone.subscribers, zone.least)).collect();
    assert_eq!(reported, [("a1", 2, at(1, 19)), ("a2", 1, history.position)]);
    assert!(refusals.is_empty());
    for _ in 0..10 {
        relayed.progress(2, "a1", at(1, 19), vec![]);
        relayed.advance_clock(300);
        relayed.upstream_event(FollowerEvent::Received(history.heartbeat()));
    }
    assert!(relayed.reports().is_empty(), "nothing changed");
}

#[test]
fn a_change_below_is_told_at_the_next_deadline() {
    let history = history();
    let mut relayed = Relayed::at_head_of(&history);
    relayed.watch_at_head(1, "server-1", "a1", &history);
    relayed.advance_clock(250);
    relayed.progress(1, "a1", at(1, 18), vec![]);
    relayed.reports();
    relayed.progress(1, "a1", at(1, 19), vec![]);
    let start = relayed.now;
    while relayed.now < start + 250 && relayed.up.is_empty() {
        relayed.now = relayed.relay.deadline();
        relayed.event(RelayEvent::Tick);
    }
    let reports = relayed.reports();
    assert_eq!(reports.last().expect("a report within the interval").0[0].least, at(1, 19));
}

#[test]
fn refusals_go_up_once_a_few_at_a_time() {
    let history = history();
    let mut relayed = Relayed::at_head_of(&history);
    for session in 1..=20 {
        relayed.watch_at_head(session, &format!("server-{session}"), "a1", &history);
        let refusal = refusal(&format!("server-{session}"), history.position);
        relayed.progress(session, "a1", history.position, vec![refusal]);
    }
    let mut refusals = Vec::new();
    for _ in 0..10 {
        relayed.advance_clock(250);
        relayed.upstream_event(FollowerEvent::Received(history.heartbeat()));
        for (_, some) in relayed.reports() {
            assert!(some.len() <= 16);
            refusals.extend(some);
        }
    }
    let mut members: Vec<_> = refusals.iter().map(|refusal| refusal.member.to_string()).collect();
    members.sort();
    members.dedup();
    assert_eq!((refusals.len(), members.len()), (20, 20), "each refusal is reported once");
}

#[test]
fn cut_off_it_serves_what_it_has_and_heals() {
    let mut history = history();
    let mut relayed = Relayed::at_head_of(&history);
    relayed.watch_at_head(1, "server-1", "a1", &history);
    relayed.upstream_event(FollowerEvent::Disconnected);
    relayed.up.clear();
    let (cut_at, known) = (history.clone(), history.position);
    for _ in 0..60 {
        relayed.advance_clock(500);
        relayed.downstream_event(FanoutEvent::Received(SessionId(1), ToServer::Alive));
        if relayed.up.iter().any(|action| matches!(action, LinkAction::Connect(_))) {
            relayed.up.clear();
            relayed.upstream_event(FollowerEvent::ConnectFailed);
        }
    }
    let ages = relayed.ages_sent_to(1, known);
    assert!(ages.len() >= 25, "heartbeats continue");
    assert!(
        ages.is_sorted() && ages.last() >= Some(&29_000),
        "the ages do not grow during the cut: {ages:?}"
    );
    assert!(relayed.relay.follower().age_ms(relayed.now).expect("a known age") >= 29_000);
    assert!(relayed.reports().is_empty(), "no report is sent without an upstream session");
    relayed.watch(2, "server-2", "a1", Position::default(), Digest::default());
    assert_eq!(*relayed.sent_to(2)[0], ToClient::Resync { head: known });
    relayed.downstream_event(FanoutEvent::Received(
        SessionId(2),
        ToServer::FetchDifferences { bucket_digests: vec![] },
    ));
    assert!(matches!(*relayed.sent_to(2)[0], ToClient::Piece { sequence: 0, .. }));
    history.grow(4);
    relayed.connect();
    assert!(relayed.reports().len() == 1, "progress is reported at once in a new upstream session");
    relayed.upstream_event(FollowerEvent::Received(history.since(cut_at.position)));
    assert_eq!(relayed.relay.fanout().head(), history.position);
    assert_eq!(*relayed.sent_to(1)[0], history.since(cut_at.position));
}

#[test]
fn a_snapshot_from_above_makes_those_below_resync() {
    let mut history = history();
    let mut relayed = Relayed::at_head_of(&history);
    let before = history.clone();
    relayed.watch_at_head(1, "server-1", "a1", &history);
    relayed.down.clear();
    history.grow(50);
    relayed.fetch(&history);
    assert_eq!(*relayed.sent_to(1)[0], ToClient::Resync { head: history.position });
    let bucket_digests = before.table.bucket_digests();
    relayed
        .downstream_event(FanoutEvent::Received(SessionId(1), ToServer::FetchDifferences { bucket_digests }));
    let first = &relayed.sent_to(1)[0];
    let ToClient::Piece { buckets, .. } = &**first else { panic!("expected a piece, got {first:?}") };
    let differing = before.table.differing(&history.table.bucket_digests()).len();
    assert!(!buckets.is_empty() && buckets.len() <= differing, "only what differs");
}

#[test]
fn one_that_has_nothing_says_so() {
    let mut relayed = Relayed::new();
    let history = history();
    relayed.watch_at_head(1, "server-1", "a1", &history);
    relayed.advance_clock(1_000);
    let sent: Vec<_> = relayed.down.iter().map(|(_, message)| message.clone()).collect();
    assert!(!sent.is_empty());
    let nothing = Position::default();
    let old = ToClient::Heartbeat { head: nothing, age_ms: MAX_AGE_MS };
    assert!(sent.iter().all(|message| **message == old), "{sent:?}");
}
