//! Seeded simulation, in virtual time, of a publisher, 43 relays in two levels and about 1,600 subscribers in
//! six regions. Relays are killed, a region is cut off, all subscribers of a zone restart together, the
//! publisher restarts and links become slow. Under any combination of these faults no change is lost or
//! reordered, no table is torn, no position regresses, and each change is in force within the limit wherever
//! it can arrive.
//!
//! `REGIONS_SEEDS` runs that many further seeds; `REGIONS_SUBSCRIBERS` sets the number of subscribers in
//! those runs.

mod regions_support;

use regions_support::{Report, run, run_reported_before_durable};

const SUBSCRIBERS: usize = 1_600;
const ALL_SUBSCRIBERS: usize = 7_100;
/// Number of subscribers in tests that do not depend on the size.
const FEW_SUBSCRIBERS: usize = 96;
const IN_FORCE_LIMIT_MS: u64 = 6_000;

fn check(seed: u64, subscribers: usize) -> Report {
    let started = std::time::Instant::now();
    let report = run(seed, subscribers);
    println!("{report:?} in {:?}", started.elapsed());
    if let Some(failure) = report.failure(IN_FORCE_LIMIT_MS) {
        panic!("{failure}");
    }
    report
}

fn setting(name: &str) -> Option<usize> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn seed_1_holds() {
    check(1, SUBSCRIBERS);
}

#[test]
fn seed_2_holds() {
    check(2, SUBSCRIBERS);
}

#[test]
fn many_seeds_hold_with_few_subscribers() {
    for seed in 100..108 {
        check(seed, FEW_SUBSCRIBERS);
    }
}

#[test]
fn further_seeds_hold_where_asked_for() {
    let subscribers = setting("REGIONS_SUBSCRIBERS").unwrap_or(SUBSCRIBERS);
    for seed in 0..setting("REGIONS_SEEDS").unwrap_or(0) as u64 {
        check(1_000 + seed, subscribers);
    }
}

#[test]
#[ignore = "minutes in a debug build"]
fn the_whole_fleet_holds() {
    check(7, ALL_SUBSCRIBERS);
}

#[test]
fn the_same_seed_gives_the_same_result() {
    let first = run(11, FEW_SUBSCRIBERS);
    assert_eq!(first, run(11, FEW_SUBSCRIBERS));
    assert_ne!(first.digest, run(12, FEW_SUBSCRIBERS).digest);
}

/// Guards against checks that detect nothing: a process that holds a change that is not on the publisher's
/// disk must be found.
#[test]
fn a_change_told_before_it_is_durable_is_found() {
    let report = run_reported_before_durable(1, FEW_SUBSCRIBERS);
    assert!(report.not_durable > 0, "the published change that is not durable was not found: {report:?}");
}
