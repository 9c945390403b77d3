//! A soak of the server: whole lives of real processes on loopback, drawn from a seed, and judged by the protocol's rules
//! alone. Some seeds are tests of their own, so that one that fails is seen, and listed, without the others.
//!
//! A long soak is started by hand: `SOAK_SEED` sets the first seed and `SOAK_RUNS` the number of runs; `SOAK_WITHOUT` leaves
//! parts out: `SOAK_SEED=101 SOAK_RUNS=50 cargo test --test soak whole_lives -- --nocapture`, or `wide_lives` or
//! `lives_with_series`.

mod soak_support;
mod upgrade_support;

use soak_support::parts::LeftOut;
use soak_support::run::play;
use soak_support::schedule::Schedule;
use soak_support::verdict::judge_run;
use std::sync::{Mutex, PoisonError};
use upgrade_support::from_environment;

/// The first seed and the number of runs where the environment sets none.
const DEFAULT_SEED: u64 = 9;
const DEFAULT_WIDE_SEED: u64 = 3;
const DEFAULT_SERIES_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 1;

/// The kinds of runs.
#[derive(Clone, Copy)]
enum Kind {
    Whole,
    Wide,
    Series,
}

impl Kind {
    fn schedule(self, seed: u64, left_out: &LeftOut) -> Schedule {
        match self {
            Kind::Whole => Schedule::draw(seed, left_out),
            Kind::Wide => Schedule::draw_wide(seed, left_out),
            Kind::Series => Schedule::draw_with_series(seed, left_out),
        }
    }

    /// Returns the test that plays this kind by hand.
    fn test(self) -> &'static str {
        match self {
            Kind::Whole => "whole_lives",
            Kind::Wide => "wide_lives",
            Kind::Series => "lives_with_series",
        }
    }
}

/// Held while a life is played: what a test program plays at once would be load for the others.
static PLAYED_ALONE: Mutex<()> = Mutex::new(());

/// Every request that is read gets one final answer, no key runs twice, nothing is refused after it ran, and the processes
/// stay within their limits and end as they should, whatever a schedule brings.
#[test]
fn whole_lives_break_no_rule() {
    assert_all_hold(Kind::Whole, DEFAULT_SEED);
}

/// The same with steps that the other runs do not know: evacuations within upgrades, three processes, bursts of requests.
#[test]
fn wide_lives_break_no_rule() {
    assert_all_hold(Kind::Wide, DEFAULT_WIDE_SEED);
}

/// The same with series of signals, close together: reloads, and stops within which a reload comes.
#[test]
fn lives_with_series_of_signals_break_no_rule() {
    assert_all_hold(Kind::Series, DEFAULT_SERIES_SEED);
}

/// Plays the seeds that the environment names, or the default one, and asserts that all rules held in each run.
fn assert_all_hold(kind: Kind, default_seed: u64) {
    let first = from_environment("SOAK_SEED", default_seed);
    let runs = from_environment("SOAK_RUNS", DEFAULT_RUNS);
    let left_out = LeftOut::from_environment();
    let failed: Vec<u64> = (first..first + runs).filter(|seed| !holds(kind, *seed, &left_out)).collect();
    assert!(failed.is_empty(), "seeds {failed:?} of {first} to {}", first + runs - 1);
}

/// Defines a test of a run of that kind for each of these seeds.
macro_rules! lives {
    ($kind:path, $($test:ident: $seed:literal),+ $(,)?) => {
        $(
            #[test]
            fn $test() {
                assert!(holds($kind, $seed, &LeftOut::default()), "seed {}", $seed);
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
    // Both were seen to end late beside load.
    life_204_breaks_no_rule: 204,
    life_7051_breaks_no_rule: 7051,
}

/// Plays a run of a seed, prints what was seen, and returns whether all rules held.
fn holds(kind: Kind, seed: u64, left_out: &LeftOut) -> bool {
    let _alone = PLAYED_ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let report = play(seed, &kind.schedule(seed, left_out));
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
        println!("  {} to {}: a worker pool stood still", delay.start, delay.end);
    }
    report.logs.iter().for_each(|line| println!("  {line}"));
    false
}
