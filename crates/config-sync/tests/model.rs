//! Model checking of the real `Publisher`, `Relay` and `Subscriber`. Messages are delivered at any time,
//! links break at any point, the publisher crashes with changes proposed, written or published, and the relay
//! restarts with an empty table. In every reachable state no process holds a change that is not durable, no
//! table is torn and no position regresses. In every state in which only faults can still occur, all
//! processes hold the same table.

mod model_support;

use model_support::explore::{Bounds, Distribution, State};
use model_support::fault::Fault;
use model_support::links::Server;
use stateright::{Checker, Model, Property};

const THREADS: usize = 2;

/// A subscriber behind the relay, neither of them connected yet. The publisher crashes once.
const CRASH: Bounds = Bounds {
    subscribers: 1,
    servers: &[Server::Relay],
    connected: false,
    changes: 2,
    crashes: 1,
    relay_restarts: 0,
    breaks: 0,
    heartbeats: 0,
};
/// As `CRASH`, but connected from the start. Any one link may break, and one heartbeat may be sent at any
/// time.
const CRASH_AND_BREAK: Bounds = Bounds { connected: true, breaks: 1, heartbeats: 1, ..CRASH };
/// A subscriber that connects to the relay after its link to the publisher breaks.
const LAGGING_RELAY: Bounds = Bounds {
    servers: &[Server::Publisher, Server::Relay],
    connected: true,
    changes: 3,
    crashes: 0,
    breaks: 1,
    ..CRASH
};
/// The relay restarts with an empty table while its subscriber has data, and any one link may break.
const EMPTY_RELAY: Bounds = Bounds { connected: true, crashes: 0, relay_restarts: 1, breaks: 1, ..CRASH };
/// Two subscribers behind the relay. Any one link may break.
const TWO_SUBSCRIBERS: Bounds = Bounds { subscribers: 2, connected: true, crashes: 0, breaks: 1, ..CRASH };

impl Model for Distribution {
    type State = State;
    type Action = model_support::world::Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.replay(Vec::new())]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Self::Action>) {
        steps.extend(state.possible.iter().copied());
    }

    fn next_state(&self, last: &State, step: Self::Action) -> Option<State> {
        let mut steps = last.steps.clone();
        steps.push(step);
        Some(self.replay(steps))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("only durable", |_, state: &State| !state.fingerprint.checks.not_durable),
            Property::always("never torn", |_, state: &State| !state.fingerprint.checks.torn),
            Property::always("never regresses", |_, state: &State| !state.fingerprint.checks.regressed),
            Property::always("equal when quiet", |_, state: &State| {
                !state.fingerprint.checks.quiet || state.fingerprint.checks.equal
            }),
            Property::always("quiet at the end", |_, state: &State| {
                !state.possible.is_empty() || state.fingerprint.checks.quiet
            }),
            Property::sometimes("quiet with all changes", |_, state: &State| state.fingerprint.checks.quiet),
            Property::sometimes("a snapshot in a subscriber", |_, state: &State| state.snapshots > 0),
        ]
    }
}

fn explore(name: &str, bounds: Bounds, fault: Fault) -> impl Checker<Distribution> {
    let started = std::time::Instant::now();
    let checker = Distribution { bounds, fault }.checker().threads(THREADS).spawn_bfs().join();
    println!(
        "{name}, {fault:?}: {} states in total, {} distinct, depth {}, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed()
    );
    checker
}

#[test]
fn the_properties_hold_when_the_publisher_crashes() {
    explore("crash", CRASH, Fault::None).assert_properties();
}

#[test]
fn the_properties_hold_when_the_publisher_crashes_and_a_link_breaks() {
    explore("crash and break", CRASH_AND_BREAK, Fault::None).assert_properties();
}

#[test]
fn the_properties_hold_when_a_subscriber_turns_to_a_lagging_relay() {
    explore("lagging relay", LAGGING_RELAY, Fault::None).assert_properties();
}

#[test]
fn the_properties_hold_when_the_relay_starts_with_nothing() {
    explore("empty relay", EMPTY_RELAY, Fault::None).assert_properties();
}

#[test]
fn the_properties_hold_with_two_subscribers() {
    explore("two subscribers", TWO_SUBSCRIBERS, Fault::None).assert_properties();
}

/// Guards against a model that detects nothing: the model must find a store that reports a change as durable
/// before it has written it.
#[test]
fn a_change_told_before_it_is_durable_is_found() {
    let checker = explore("crash", CRASH, Fault::ReportedBeforeDurable);
    let counterexample = checker.discovery("only durable");
    println!(
        "{:?}",
        counterexample
            .expect("no state was found with a change published before it was durable")
            .into_actions()
    );
}

/// Guards against a model that detects nothing: the model must find an older snapshot that replaces newer
/// changes.
#[test]
fn a_snapshot_applied_over_a_newer_delta_is_found() {
    let bounds = Bounds { changes: 2, ..LAGGING_RELAY };
    let checker = explore("lagging relay", bounds, Fault::SnapshotOverNewerDelta);
    let counterexample = checker.discovery("never torn");
    println!(
        "{:?}",
        counterexample.expect("no state was found with a snapshot applied over a newer delta").into_actions()
    );
}
