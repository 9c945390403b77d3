//! Soak tests of the server: each plays the whole life of real processes on loopback, from start to
//! shutdown, by a schedule drawn from a seed, and checks the rules of the protocol alone. Some seeds are
//! separate tests, so that a failure of one is listed by itself.
//!
//! A long soak is started by hand: `SOAK_SEED` sets the first seed, `SOAK_RUNS` the number of runs, and
//! `SOAK_WITHOUT` excludes parts:
//! `SOAK_SEED=101 SOAK_RUNS=50 cargo test --test soak whole_lives -- --nocapture`, or `wide_lives` or
//! `lives_with_series`.

mod soak_support;
mod upgrade_support;

use soak_support::parts::ExcludedParts;
use soak_support::run::play;
use soak_support::schedule::Schedule;
use soak_support::verdict::judge_run;
use std::sync::{Mutex, PoisonError};
use upgrade_support::from_environment;

/// The first seeds of the three kinds of runs if the environment sets none.
const DEFAULT_SEED: u64 = 9;
const DEFAULT_WIDE_SEED: u64 = 3;
const DEFAULT_SERIES_SEED: u64 = 1;
/// The number of runs if the environment sets none.
const DEFAULT_RUNS: u64 = 1;

/// A kind of soak run.
#[derive(Clone, Copy)]
enum Kind {
    Whole,
    Wide,
    Series,
}

impl Kind {
    fn schedule(self, seed: u64, excluded: &ExcludedParts) -> Schedule {
        match self {
            Kind::Whole => Schedule::draw(seed, excluded),
            Kind::Wide => Schedule::draw_wide(seed, excluded),
            Kind::Series => Schedule::draw_with_series(seed, excluded),
        }
    }

    /// Returns the name of the test that plays this kind with seeds from the environment.
    fn test(self) -> &'static str {
        match self {
            Kind::Whole => "whole_lives",
            Kind::Wide => "wide_lives",
            Kind::Series => "lives_with_series",
        }
    }
}

/// Held while a run is played: runs that are played at the same time would be load for each other.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// Under any schedule, every request that is read gets one final answer, no key runs twice, no request is
/// rejected after it ran, and the processes stay within their limits and end with the expected status.
#[test]
fn whole_lives_break_no_rule() {
    assert_all_hold(Kind::Whole, DEFAULT_SEED);
}

/// As [`whole_lives_break_no_rule`], with steps that the other runs do not have: evacuations within
/// upgrades, three processes, bursts of requests.
#[test]
fn wide_lives_break_no_rule() {
    assert_all_hold(Kind::Wide, DEFAULT_WIDE_SEED);
}

/// As [`whole_lives_break_no_rule`], with series of signals in quick succession: reloads, and stops during
/// which a reload arrives.
#[test]
fn lives_with_series_of_signals_break_no_rule() {
    assert_all_hold(Kind::Series, DEFAULT_SERIES_SEED);
}

/// Plays the seeds that the environment names, or the default one, and asserts that all rules held in each
/// run.
fn assert_all_hold(kind: Kind, default_seed: u64) {
    let first = from_environment("SOAK_SEED", default_seed);
    let runs = from_environment("SOAK_RUNS", DEFAULT_RUNS);
    let excluded = ExcludedParts::from_environment();
    let failed: Vec<u64> = (first..first + runs).filter(|seed| !holds(kind, *seed, &excluded)).collect();
    assert!(failed.is_empty(), "seeds {failed:?} of {first} to {}", first + runs - 1);
}

/// Defines a test for each of these seeds, which plays a run of the given kind.
macro_rules! lives {
    ($kind:path, $($test:ident: $seed:literal),+ $(,)?) => {
        $(
            #[test]
            fn $test() {
                assert!(holds($kind, $seed, &ExcludedParts::default()), "seed {}", $seed);
            }
        )+
    };
}

lives! {
    Kind::Wide,
    wide_life_1_breaks_no_rule: 1,
    wide_life_2_breaks_no_rule: 2,
}

lives! {
    Kind::Whole,
    life_1_breaks_no_rule: 1,
    life_2_breaks_no_rule: 2,
    life_3_breaks_no_rule: 3,
    life_4_breaks_no_rule: 4,
    life_5_breaks_no_rule: 5,
    life_6_breaks_no_rule: 6,
    life_7_breaks_no_rule: 7,
    life_8_breaks_no_rule: 8,
    // With both seeds, the process was seen to end late under load.
    life_204_breaks_no_rule: 204,
    life_7051_breaks_no_rule: 7051,
}

/// Plays the run of a seed, prints its report, and returns whether all rules held.
fn holds(kind: Kind, seed: u64, excluded: &ExcludedParts) -> bool {
    let _alone = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let report = play(seed, &kind.schedule(seed, excluded));
    let (verdict, problems) = judge_run(&report);
    println!(
        "soak, seed {seed}: {verdict}, {} kB, {} descriptors",
        report.peak_resident_kb, report.peak_descriptors
    );
    if problems.is_empty() {
        return true;
    }
    println!(
        "seed {seed} failed: SOAK_SEED={seed} SOAK_RUNS=1 cargo test --locked --test soak {} -- --nocapture",
        kind.test()
    );
    problems.iter().for_each(|problem| println!("  {problem}"));
    report.history.iter().for_each(|line| println!("  {line}"));
    for delay in &report.worker_pool_delays {
        println!("  {} to {}: a worker pool was delayed", delay.start, delay.end);
    }
    report.logs.iter().for_each(|line| println!("  {line}"));
    false
}
