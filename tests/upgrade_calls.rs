//! Calls of operators around an upgrade: the telemetry of both processes, and an evacuation that persists
//! after the process that received its request has ended.
//!
//! `UPGRADE_SEED` sets the seed.

mod upgrade_support;

use std::time::Duration;
use upgrade_support::check::judge;
use upgrade_support::clients::Clients;
use upgrade_support::load::LoadSettings;
use upgrade_support::operators::{differences, in_flight, is_in_flight, operators_call, telemetry};
use upgrade_support::records::{HealthAnswer, Outcome};
use upgrade_support::site::Site;
use upgrade_support::upgrade::finish_predecessor;
use upgrade_support::{from_environment, run_for, wait_for};

/// The seed if the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// Duration of the load before and after an upgrade.
const LOAD_TIME: Duration = Duration::from_millis(600);

fn seed() -> u64 {
    from_environment("UPGRADE_SEED", DEFAULT_SEED)
}

fn load(seed: u64) -> LoadSettings {
    LoadSettings { seed, rate: 120.0, shared_connections: 8, withdrawals: false }
}

/// Each request appears in exactly one count of one of the processes, whichever read it.
#[test]
fn figures_of_both_processes_add_up() {
    let seed = seed();
    let mut site = Site::start(seed);
    let mut old = site.start_first();
    let clients = Clients::start(site.listen, site.request_ends(), load(seed));
    run_for(LOAD_TIME);
    let (new, _) = site.start_successor();
    run_for(LOAD_TIME);
    wait_for(seed, "nothing in flight in the old process", || in_flight(&telemetry(&old)) == 0);
    let of_old = telemetry(&old);
    finish_predecessor(&mut old, |_| {});
    run_for(LOAD_TIME);
    let records = clients.finish();
    let verdict = judge(&records, &site.started_runs());
    println!("figures of two processes, seed {seed}: {verdict}");
    // Counts may lag by half a second.
    run_for(Duration::from_millis(500));
    let of_new = telemetry(&new);
    let differences = differences(&[&of_old, &of_new], &records, &site);
    assert!(differences.is_empty(), "seed {seed}: {differences:?}\n{verdict}");
    assert_eq!(verdict.broken_rules() + verdict.without_response(), 0, "seed {seed}: {verdict}");
}

/// While both processes run, the sum of their requests in flight is the number that clients wait for.
#[test]
fn requests_in_flight_of_both_processes_add_up() {
    const AGREEING_SAMPLES: u32 = 5;
    const MIN_OPEN: u64 = 12;
    let seed = seed();
    let mut site = Site::start(seed);
    let old = site.start_first();
    let clients = Clients::start(site.listen, site.request_ends(), load(seed));
    run_for(LOAD_TIME);
    // Runs of the old process are stalled from before the upgrade, and those of the new one from its
    // readiness.
    site.last_pool().stall(Duration::from_secs(3));
    run_for(Duration::from_millis(50));
    let (new, _) = site.start_successor();
    site.last_pool().stall(Duration::from_secs(3));
    let mut agreeing = 0;
    wait_for(seed, "figures that agree", || {
        let before = clients.open();
        let (of_old, of_new) = (in_flight(&telemetry(&old)), in_flight(&telemetry(&new)));
        let after = clients.open();
        println!("in flight {of_old} and {of_new}, clients wait for {before}, then {after}");
        let agrees = is_in_flight(of_old + of_new, before.min(after)..=before.max(after));
        agreeing = if agrees && before.min(after) >= MIN_OPEN { agreeing + 1 } else { 0 };
        agreeing == AGREEING_SAMPLES
    });
    let verdict = judge(&clients.finish(), &site.started_runs());
    println!("requests in flight of two processes, seed {seed}: {verdict}");
    assert_eq!(verdict.broken_rules() + verdict.without_response(), 0, "seed {seed}: {verdict}");
}

/// An evacuated server stays evacuated across an upgrade, until the new process is requested to rejoin.
#[test]
fn evacuation_outlives_an_upgrade() {
    const GOOD_WITHIN_MS: u64 = 2000;
    let seed = seed();
    let mut site = Site::start(seed);
    let mut old = site.start_first();
    let clients = Clients::start(site.listen, site.request_ends(), load(seed));
    wait_for(seed, "responses", || clients.count(Outcome::Served) > 20);
    assert!(operators_call(&old, "PUT", "/api/evacuate").is_success());
    run_for(Duration::from_secs(1));
    let bad_from_ms = dunlinspread_fakes::unix_ms();
    let (new, _) = site.start_successor();
    run_for(LOAD_TIME);
    finish_predecessor(&mut old, |_| {});
    run_for(LOAD_TIME);
    let rejoined_ms = dunlinspread_fakes::unix_ms();
    assert!(operators_call(&new, "PUT", "/api/rejoin").is_success());
    run_for(Duration::from_millis(GOOD_WITHIN_MS + 500));
    let records = clients.finish();
    let verdict = judge(&records, &site.started_runs());
    println!("evacuation and upgrade, seed {seed}: {verdict}");
    let answers = |from_ms: u64, to_ms: u64| -> Vec<HealthAnswer> {
        let between = records.health.iter().filter(|(at, _)| (from_ms..to_ms).contains(at));
        between.map(|(_, answer)| *answer).collect()
    };
    let (evacuated, rejoined) =
        (answers(bad_from_ms, rejoined_ms), answers(rejoined_ms + GOOD_WITHIN_MS, u64::MAX));
    println!("evacuated: {evacuated:?}\nafterwards: {rejoined:?}");
    assert!(!evacuated.is_empty() && !rejoined.is_empty(), "seed {seed}: no health checks");
    assert!(!evacuated.contains(&HealthAnswer::Good), "seed {seed}: good while evacuated: {evacuated:?}");
    assert!(rejoined.iter().all(|answer| *answer == HealthAnswer::Good), "seed {seed}: {rejoined:?}");
    assert_eq!(verdict.broken_rules() + verdict.without_response(), 0, "seed {seed}: {verdict}");
    assert!(verdict.not_accepted <= 2, "seed {seed}: {verdict}");
}
