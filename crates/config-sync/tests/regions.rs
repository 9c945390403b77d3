//! Publisher, 43 relays in two levels and some 1,600 subscribers in six regions, in virtual time and by seed:
//! relays are killed, a region is cut off, a zone restarts at once, the publisher restarts, links are slow.
//! Whatever comes together, nothing is lost, reordered, torn or set back, and each change is in force in time
//! wherever it can be.
//!
//! `REGIONS_SEEDS` plays that many further seeds, `REGIONS_SUBSCRIBERS` sets the size of those.

mod regions_support;

use regions_support::{Report, play, play_told_before_durable};

const SUBSCRIBERS: usize = 1_600;
const ALL_SUBSCRIBERS: usize = 7_100;
/// For runs that look at something else than size.
const FEW_SUBSCRIBERS: usize = 96;
const IN_FORCE_LIMIT_MS: u64 = 6_000;

fn check(seed: u64, subscribers: usize) -> Report {
    let started = std::time::Instant::now();
    let report = play(seed, subscribers);
    println!("{report:?} in {:?}", started.elapsed());
    if let Some(wrong) = report.faults_found(IN_FORCE_LIMIT_MS) {
        panic!("{wrong}");
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
    let first = play(11, FEW_SUBSCRIBERS);
    assert_eq!(first, play(11, FEW_SUBSCRIBERS));
    assert_ne!(first.digest, play(12, FEW_SUBSCRIBERS).digest);
}

/// The judge bites: whoever has what is not on the publisher's disk is found.
#[test]
fn a_change_told_before_it_is_durable_is_found() {
    let report = play_told_before_durable(1, FEW_SUBSCRIBERS);
    assert!(report.not_durable > 0, "not found: {report:?}");
}
