//! An upgrade of a server that receives more requests than it can decide: messages between the processes do
//! not wait behind the requests of clients. Each decision takes the server a fixed time, so that the test
//! does not depend on other load of the machine.
//!
//! `UPGRADE_SEED` sets the seed.

mod upgrade_support;

use std::time::{Duration, Instant};
use upgrade_support::check::{judge, print_attempts};
use upgrade_support::clients::Clients;
use upgrade_support::load::LoadSettings;
use upgrade_support::records::Outcome;
use upgrade_support::site::Site;
use upgrade_support::{from_environment, run_for};

/// The seed if the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// The variable that makes the server slow at named points.
const SLOW_AT: &str = "DUNLINSPREAD_SLOW_AT";
/// The named points and the time that each takes.
const COSTS: &str = "message:500us,decision:2000us";
/// Requests a second, more than the server has time to decide.
const RATE: f64 = 400.0;
/// Duration of the load before the upgrade, after which more requests are queued than the server can decide
/// within the time limit of a handover step.
const LOAD_TIME: Duration = Duration::from_millis(1800);

#[test]
fn a_successor_takes_over_from_a_server_that_has_more_to_decide_than_it_can() {
    let seed = from_environment("UPGRADE_SEED", DEFAULT_SEED);
    let mut site = Site::start(seed);
    site.variables.push((SLOW_AT, COSTS.to_owned()));
    let _old = site.start_first();
    site.variables.clear();
    let load = LoadSettings { seed, rate: RATE, shared_connections: 8, withdrawals: false };
    let clients = Clients::start(site.listen, site.request_ends(), load);
    run_for(LOAD_TIME);
    let since = Instant::now();
    let (_new, took) = site.start_successor();
    println!("seed {seed}: the successor serves after {took:?}, started {:?} ago", since.elapsed());
    let records = clients.finish();
    let verdict = judge(&records, &site.started_runs());
    println!("seed {seed}: {verdict}");
    print_attempts(&records, &[Outcome::Lost, Outcome::Unanswered]);
    assert_eq!(verdict.broken_rules() + verdict.without_response(), 0, "seed {seed}: {verdict}");
}
