//! The reported age of a state, also behind relays that are cut off.

mod client_support;

use client_support::{Driver, History, member, server};
use dunlinspread_config_sync::codec::{DecodeError, decode_to_client, encode_to_client};
use dunlinspread_config_sync::fanout::{FanoutAction, FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::follower::{FollowerEvent, FollowerSettings};
use dunlinspread_config_sync::message::{MAX_AGE_MS, Member, Role, ToClient, ToServer};
use dunlinspread_config_sync::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use dunlinspread_config_sync::resource::{Millis, Position};
use dunlinspread_config_sync::state_age::StateAge;
use proptest::prelude::*;

fn history() -> History {
    let mut history = History::new(1);
    history.grow(10);
    history
}

fn driver(history: &History) -> Driver {
    let settings =
        FollowerSettings::new(member("server-1", "a1", "a"), vec![server("zone", Some("a1"), "a")], 7);
    Driver::with_state(settings, history.position, history.table.clone())
}

#[test]
fn a_client_is_as_old_as_its_server_says_also_before_its_own_clock_began() {
    let history = history();
    let mut driver = driver(&history);
    driver.accept();
    driver.now = 1_000;
    driver.receive(history.heartbeat_aged(90_000));
    assert_eq!(driver.follower.age_ms(1_000), Some(90_000));
    assert_eq!(driver.follower.age_ms(2_500), Some(91_500));
    driver.now = 2_000;
    driver.receive(history.heartbeat_aged(200));
    assert_eq!(driver.follower.age_ms(2_000), Some(200));
    driver.now = 3_000;
    driver.receive(history.heartbeat_aged(5_000));
    assert_eq!(
        driver.follower.age_ms(3_000),
        Some(1_200),
        "the age never exceeds the one derived from an earlier heartbeat"
    );
}

#[test]
fn deltas_and_snapshots_of_an_old_server_do_not_make_its_client_young() {
    let before = history();
    let mut history = before.clone();
    history.grow(3);
    let mut by_deltas = driver(&before);
    by_deltas.accept();
    by_deltas.receive(history.heartbeat_aged(60_000));
    by_deltas.receive(history.since(before.position));
    let mut by_snapshot = driver(&before);
    by_snapshot.accept();
    by_snapshot.receive(ToClient::Resync { head: history.position });
    for message in history.snapshot(&before.table.bucket_digests()) {
        by_snapshot.receive(message);
    }
    assert_eq!(by_snapshot.follower.age_ms(by_snapshot.now), None, "the server has not sent an age yet");
    by_snapshot.receive(history.heartbeat_aged(60_000));
    for driver in [by_deltas, by_snapshot] {
        assert_eq!(driver.follower.position(), history.position);
        assert_eq!(driver.follower.age_ms(driver.now), Some(60_000));
    }
}

/// Returns a relay at the head of `history`, with a client that watches it at the same position.
fn relay_and_client(history: &History, out: &mut Vec<RelayAction>) -> Relay {
    let own = Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
    let follower = FollowerSettings::new(own, vec![server("above", None, "a")], 3);
    let mut relay = Relay::new(RelaySettings::new(follower, FanoutSettings::default()), 0);
    let upstream = |event| RelayEvent::Upstream(event);
    relay.on_event(0, RelayEvent::Tick, out);
    relay.on_event(0, upstream(FollowerEvent::Connected), out);
    let resync = ToClient::Resync { head: history.position };
    for message in std::iter::once(resync).chain(history.snapshot(&[])) {
        relay.on_event(0, upstream(FollowerEvent::Received(message)), out);
    }
    let watch = ToServer::Watch {
        member: member("server-1", "a1", "a"),
        position: history.position,
        digest: history.table.digest(),
    };
    for event in [FanoutEvent::Opened(SessionId(1)), FanoutEvent::Received(SessionId(1), watch)] {
        relay.on_event(0, RelayEvent::Downstream(event), out);
    }
    relay
}

/// Returns the age in the last heartbeat sent downstream.
fn sent_age(actions: &[RelayAction]) -> Option<Millis> {
    actions.iter().rev().find_map(|action| match action {
        RelayAction::Downstream(FanoutAction::Send { message, .. }) => match **message {
            ToClient::Heartbeat { age_ms, .. } => Some(age_ms),
            _ => None,
        },
        _ => None,
    })
}

#[test]
fn a_relay_tells_the_age_of_what_it_serves_not_of_its_link() {
    let history = history();
    let mut out = Vec::new();
    let mut relay = relay_and_client(&history, &mut out);
    relay.on_event(1_000, RelayEvent::Tick, &mut out);
    assert_eq!(sent_age(&out), Some(MAX_AGE_MS), "the relay has not received an age yet");
    for second in 2..30 {
        let now = second * 1_000;
        let heartbeat = FollowerEvent::Received(history.heartbeat_aged(now));
        relay.on_event(now, RelayEvent::Upstream(heartbeat), &mut out);
        let alive = FanoutEvent::Received(SessionId(1), ToServer::Alive);
        relay.on_event(now, RelayEvent::Downstream(alive), &mut out);
        relay.on_event(now, RelayEvent::Tick, &mut out);
        assert_eq!(sent_age(&out), Some(now), "the upstream server sends heartbeats but is cut off since 0");
    }
}

#[test]
fn the_age_on_the_wire_is_bounded_and_may_be_left_out() {
    let head = Position { epoch: 1, revision: 2 };
    let without = [0xb2, 0x01, 0x04, 0x08, 0x01, 0x10, 0x02];
    assert_eq!(decode_to_client(&without), Ok(ToClient::Heartbeat { head, age_ms: 0 }));
    let mut bytes = Vec::new();
    encode_to_client(&ToClient::Heartbeat { head, age_ms: MAX_AGE_MS + 1 }, &mut bytes);
    let refused = DecodeError::Value { field: "heartbeat.age_ms", value: MAX_AGE_MS + 1 };
    assert_eq!(decode_to_client(&bytes), Err(refused));
}

proptest! {
    #[test]
    fn ages_grow_with_time_and_never_past_their_bound(at: u64, age: u64, first: u64, second: u64) {
        let state = StateAge::new(at, age);
        let (earlier, later) = (first.min(second), first.max(second));
        prop_assert!(state.at(earlier) <= state.at(later));
        prop_assert!(state.at(later) <= MAX_AGE_MS);
        prop_assert!(state.at(earlier) >= age.min(MAX_AGE_MS));
    }
}
