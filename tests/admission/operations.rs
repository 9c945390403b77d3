//! Random operations on the request table.

use super::event::RequestId;
use super::request::{Request, RequestState};
use super::settings::{Class, Preemption, RetrySafety, Settings};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof};
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// Upper bound of the request ids, so small that most operations find an existing request.
pub(super) const IDS: RequestId = 24;
/// Number of classes.
pub(super) const CLASSES: usize = 4;

/// Environment variable with the seed.
const SEED_VARIABLE: &str = "REQUEST_TABLE_SEED";
/// Seed used if the environment sets none.
const DEFAULT_SEED: u64 = 1;

/// Returns a configuration with the given number of cases and the seed, which it prints.
pub(super) fn seeded(cases: u32) -> ProptestConfig {
    let seed_text = std::env::var(SEED_VARIABLE).ok();
    let seed = seed_text.map_or(DEFAULT_SEED, |seed| seed.parse().expect("a number in REQUEST_TABLE_SEED"));
    println!("{SEED_VARIABLE}={seed}");
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// An operation on the request table, the reservations or the run estimates.
#[derive(Clone, Debug)]
pub(super) enum Operation {
    Insert(RequestId, Request),
    Remove(RequestId),
    SetState(RequestId, RequestState),
    SetAnswered(RequestId),
    Promote(RequestId),
    CapDeadlines(f64),
    Reserve(RequestId),
    RecordRun {
        class: usize,
        took_ms: f64,
    },
    /// Advances time, ms; a negative amount turns it back.
    Wait(f64),
}

/// Returns settings with classes that treat late requests differently.
pub(super) fn settings(preemption: Preemption) -> Settings {
    let class = |retry_safety, late_weight| Class {
        retry_safety,
        latency_objective_ms: 100.0,
        objective_per_cost: 0.0,
        client_timeout_ms: 200.0,
        key_window_ms: 400.0,
        priority_weight: 1.0,
        late_weight,
        makes_upstream_calls: false,
        degraded_weight: 0.0,
    };
    let classes: [Class; CLASSES] = [
        class(RetrySafety::Idempotent, 0.0),
        class(RetrySafety::Idempotent, 0.5),
        class(RetrySafety::IdempotencyKey, 0.5),
        class(RetrySafety::AtMostOnce, 0.0),
    ];
    Settings {
        preemption,
        classes: classes.to_vec(),
        class_limits: BTreeMap::from([(1, 2)]),
        ..Settings::default()
    }
}

/// Returns sequences of operations.
pub(super) fn operations() -> impl Strategy<Value = Vec<Operation>> {
    vec(operation(), 1..120)
}

/// Returns preemption modes.
pub(super) fn preemption() -> impl Strategy<Value = Preemption> {
    prop_oneof![Just(Preemption::Off), Just(Preemption::Abort), Just(Preemption::Suspend)]
}

fn operation() -> impl Strategy<Value = Operation> {
    let id = || 0..IDS;
    prop_oneof![
        8 => (id(), request()).prop_map(|(id, request)| Operation::Insert(id, request)),
        3 => id().prop_map(Operation::Remove),
        6 => (id(), state()).prop_map(|(id, state)| Operation::SetState(id, state)),
        1 => id().prop_map(Operation::SetAnswered),
        1 => id().prop_map(Operation::Promote),
        1 => time().prop_map(Operation::CapDeadlines),
        2 => id().prop_map(Operation::Reserve),
        1 => (0..CLASSES, 1.0..60.0).prop_map(|(class, took_ms)| Operation::RecordRun { class, took_ms }),
        3 => prop_oneof![9 => Just(10.0), 1 => Just(-25.0)].prop_map(Operation::Wait),
    ]
}

fn state() -> impl Strategy<Value = RequestState> {
    prop_oneof![
        4 => Just(RequestState::Queued),
        2 => Just(RequestState::Running),
        2 => time().prop_map(RequestState::AwaitingCall),
        1 => Just(RequestState::AwaitingCall(f64::INFINITY)),
        1 => Just(RequestState::Calling),
        1 => Just(RequestState::InDoubt),
        2 => Just(RequestState::Suspended),
        1 => Just(RequestState::Reusing),
    ]
}

/// Returns times that are often equal; some differ by less than the precision of a request's value.
fn time() -> impl Strategy<Value = f64> {
    (0..30_u32, prop_oneof![3 => Just(0.0), 1 => Just(1e-9), 1 => Just(2e-9)])
        .prop_map(|(step, shift)| f64::from(step) * 10.0 + shift)
}

fn request() -> impl Strategy<Value = Request> {
    let weight = prop_oneof![Just(0.0), Just(0.1), Just(1.0), Just(1e6)];
    let request_kb = prop_oneof![Just(0.0), Just(0.1), Just(18.3), Just(20.0), Just(1e12)];
    let duplicate_of = prop_oneof![3 => Just(None), 1 => (0..IDS).prop_map(Some)];
    let times = (time(), time(), time());
    (0..CLASSES, weight, request_kb, times, state(), duplicate_of, any::<u8>()).prop_map(
        |(class, priority_weight, request_kb, times, state, duplicate_of, chance)| Request {
            class,
            request_kb,
            priority: 0.5,
            priority_weight,
            arrived_at: times.0,
            objective_at: times.1.min(times.2),
            deadline: times.1.max(times.2),
            state,
            duplicate_of,
            answered: chance < 20,
            call_retries: 0,
        },
    )
}
