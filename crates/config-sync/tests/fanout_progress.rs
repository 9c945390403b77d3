//! Progress by zone, compared with a naive recomputation over all sessions.

mod server_support;

use dunlinspread_config_sync::fanout::{Fanout, FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::message::{MAX_REPORTED_REFUSALS, Refusal, Role, ToServer, ZoneProgress};
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::table::Table;
use proptest::prelude::*;
use server_support::{at, member, zone_progress};
use std::collections::BTreeMap;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// An action of a session.
#[derive(Clone, Debug)]
enum Step {
    Watch { session: u64, zone: usize, relay: bool },
    Report { session: u64, entries: Vec<(usize, u32, u64, u32)> },
    Close { session: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = (0..4usize, 0..5u32, 0..6u64, 0..5u32);
    prop_oneof![
        3 => (0..12u64, 0..4usize, any::<bool>()).prop_map(|(session, zone, relay)| Step::Watch { session, zone, relay }),
        6 => (0..12u64, prop::collection::vec(entry, 0..4)).prop_map(|(session, entries)| Step::Report { session, entries }),
        2 => (0..12u64).prop_map(|session| Step::Close { session }),
    ]
}

/// Reference model: each session's role, zone and last report.
#[derive(Default)]
struct Naive {
    sessions: BTreeMap<u64, (Role, usize, Vec<ZoneProgress>)>,
}

impl Naive {
    fn zones(&self) -> Vec<ZoneProgress> {
        let mut zones: BTreeMap<&str, ZoneProgress> = BTreeMap::new();
        for entry in self.sessions.values().flat_map(|(_, _, entries)| entries) {
            let sum = zones.entry(&entry.zone).or_insert_with(|| ZoneProgress {
                subscribers: 0,
                refusing: 0,
                ..entry.clone()
            });
            sum.subscribers += entry.subscribers;
            sum.refusing += entry.refusing;
            sum.least = sum.least.min(entry.least);
        }
        zones.into_values().collect()
    }
}

/// Builds a report that `role` may send from arbitrary entries.
fn report(role: Role, zone: usize, entries: &[(usize, u32, u64, u32)]) -> Vec<ZoneProgress> {
    if role == Role::Subscriber {
        let (_, _, revision, refusing) = entries.first().copied().unwrap_or_default();
        return vec![zone_progress(ZONES[zone], 1, at(revision), refusing.min(1))];
    }
    let by_zone: BTreeMap<usize, _> = entries.iter().map(|entry| (entry.0, entry)).collect();
    let rows = by_zone.values().map(|&&(zone, subscribers, revision, refusing)| {
        zone_progress(ZONES[zone], subscribers, at(revision), refusing.min(subscribers))
    });
    rows.collect()
}

fn send_event(fanout: &mut Fanout, event: FanoutEvent) {
    let mut out = Vec::new();
    fanout.on_event(0, event, &mut out);
}

fn apply_step(fanout: &mut Fanout, naive: &mut Naive, step: Step) {
    match step {
        Step::Watch { session, zone, relay } => {
            let role = if relay { Role::Relay } else { Role::Subscriber };
            let member = member(&format!("member-{session}"), ZONES[zone], role);
            let watch = ToServer::Watch { member, position: at(0), digest: Digest::default() };
            send_event(fanout, FanoutEvent::Closed(SessionId(session)));
            send_event(fanout, FanoutEvent::Opened(SessionId(session)));
            send_event(fanout, FanoutEvent::Received(SessionId(session), watch));
            let initial_report =
                if relay { vec![] } else { vec![zone_progress(ZONES[zone], 1, Position::default(), 0)] };
            naive.sessions.insert(session, (role, zone, initial_report));
        }
        Step::Report { session, entries } => {
            let Some((role, zone, last_report)) = naive.sessions.get_mut(&session) else { return };
            let zones = report(*role, *zone, &entries);
            *last_report = zones.iter().filter(|entry| entry.subscribers > 0).cloned().collect();
            send_event(
                fanout,
                FanoutEvent::Received(SessionId(session), ToServer::Progress { zones, refusals: vec![] }),
            );
        }
        Step::Close { session } => {
            send_event(fanout, FanoutEvent::Closed(SessionId(session)));
            naive.sessions.remove(&session);
        }
    }
}

fn fanout(settings: FanoutSettings) -> Fanout {
    let mut fanout = Fanout::new(settings);
    fanout.reset(0, at(0), Table::new(), 0, &mut Vec::new());
    fanout
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn zones_are_what_all_sessions_say(steps in prop::collection::vec(step(), 0..80)) {
        let mut fanout = fanout(FanoutSettings::default());
        let mut naive = Naive::default();
        for step in steps {
            apply_step(&mut fanout, &mut naive, step);
            prop_assert_eq!(fanout.zones(), naive.zones());
            prop_assert_eq!(fanout.sessions(), naive.sessions.len());
        }
        for session in 0..12 {
            send_event(&mut fanout, FanoutEvent::Closed(SessionId(session)));
        }
        prop_assert!(fanout.zones().is_empty());
    }
}

#[test]
fn a_subscriber_that_did_not_report_holds_its_zone_back() {
    let (mut fanout, mut naive) = (fanout(FanoutSettings::default()), Naive::default());
    apply_step(&mut fanout, &mut naive, Step::Watch { session: 1, zone: 0, relay: false });
    apply_step(&mut fanout, &mut naive, Step::Report { session: 1, entries: vec![(0, 1, 5, 0)] });
    assert_eq!(fanout.zones(), [zone_progress("a", 1, at(5), 0)]);
    apply_step(&mut fanout, &mut naive, Step::Watch { session: 2, zone: 0, relay: false });
    assert_eq!(fanout.zones(), [zone_progress("a", 2, Position::default(), 0)]);
    apply_step(&mut fanout, &mut naive, Step::Close { session: 2 });
    assert_eq!(fanout.zones(), [zone_progress("a", 1, at(5), 0)]);
}

#[test]
fn sums_past_their_type_are_capped() {
    let (mut fanout, mut naive) = (fanout(FanoutSettings::default()), Naive::default());
    for session in 1..=3 {
        apply_step(&mut fanout, &mut naive, Step::Watch { session, zone: 0, relay: true });
        let zones = vec![zone_progress("a", u32::MAX, at(u64::MAX), u32::MAX)];
        send_event(
            &mut fanout,
            FanoutEvent::Received(SessionId(session), ToServer::Progress { zones, refusals: vec![] }),
        );
    }
    assert_eq!(fanout.zones(), [zone_progress("a", u32::MAX, at(u64::MAX), u32::MAX)]);
}

#[test]
fn refusals_are_bounded_and_taken_in_order() {
    let max_refusals = MAX_REPORTED_REFUSALS + 4;
    let (mut fanout, mut naive) =
        (fanout(FanoutSettings { max_refusals, ..FanoutSettings::default() }), Naive::default());
    apply_step(&mut fanout, &mut naive, Step::Watch { session: 1, zone: 0, relay: true });
    let refusal = |revision| Refusal { member: "m".into(), position: at(revision), reason: "no".into() };
    for revision in 0..30 {
        let message = ToServer::Progress { zones: vec![], refusals: vec![refusal(revision)] };
        send_event(&mut fanout, FanoutEvent::Received(SessionId(1), message));
    }
    let first = fanout.take_refusals();
    assert_eq!(first.len(), MAX_REPORTED_REFUSALS);
    let taken: Vec<Refusal> = first.into_iter().chain(fanout.take_refusals()).collect();
    assert_eq!(taken, (0..max_refusals as u64).map(refusal).collect::<Vec<_>>());
    assert_eq!(fanout.refusals_dropped(), 30 - max_refusals as u64);
    assert!(fanout.take_refusals().is_empty());
}
