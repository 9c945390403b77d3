//! Breaks of the link to the worker pool under load: no run receives the reply to another of its calls, and no
//! keyed request runs twice.
//!
//! The worker pool carries commands out late, loses those that it has not carried out when the link breaks, and
//! holds back a reply that arrives early until its run waits for its next call, so that every reply that is
//! sent again needlessly is taken for the one to that call. `POOL_LINK_SEED` sets the seed.

mod upgrade_support;

use dunlinspread_fakes::{PlatformSettings, StartedRun, WorkerPoolFaults};
use std::collections::HashSet;
use std::time::Duration;
use upgrade_support::check::{judge, print_attempts};
use upgrade_support::clients::Clients;
use upgrade_support::load::LoadSettings;
use upgrade_support::records::Outcome;
use upgrade_support::settings::platform_with_work;
use upgrade_support::site::Site;
use upgrade_support::{from_environment, wait_for};

/// The seed where the environment sets none.
const DEFAULT_SEED: u64 = 1;
/// Number of breaks of the link.
const BREAKS: usize = 20;
/// Number of served requests between two breaks.
const SERVED_BETWEEN_BREAKS: usize = 15;
/// Factor on the work of runs, so that the way of a run from its first call to its second takes longer than a new
/// link.
const WORK_FACTOR: f64 = 20.0;
/// Number of cores of the machine, with which it has room for the load.
const CORES: usize = 32;
/// Time until the worker pool carries a command out, and loses it if the link breaks first.
const COMMAND_DELAY: Duration = Duration::from_millis(10);

/// Guards against a reply to an upstream call that is sent again over a new link and reaches the next call of
/// its run, which had used the reply before the break.
#[test]
fn no_run_gets_the_reply_to_an_earlier_call_after_a_break() {
    let seed = from_environment("POOL_LINK_SEED", DEFAULT_SEED);
    let platform = PlatformSettings { cores: CORES, ..platform_with_work(WORK_FACTOR) };
    let faults = WorkerPoolFaults {
        second_call: 1.0,
        command_delay: COMMAND_DELAY,
        hold_early_replies: true,
        ..WorkerPoolFaults::default()
    };
    let mut site = Site::with_platform(seed, platform.clone(), faults);
    let process = site.start_first();
    let load = LoadSettings { seed, rate: 100.0, shared_connections: 16, withdrawals: false };
    let clients = Clients::start(site.listen, site.request_ends(), load);
    for number in 1..=BREAKS {
        wait_for(seed, "served requests", || {
            clients.count(Outcome::Served) >= number * SERVED_BETWEEN_BREAKS
        });
        site.last_pool().break_link();
    }
    let records = clients.finish();
    let wrong_replies = site.last_pool().wrong_replies();
    let runs = site.started_runs();
    let verdict = judge(&records, &runs);
    let classes = classes_run_twice(&runs);
    let is_keyed = |class: &&str| {
        platform.classes.iter().any(|known| known.name == *class && known.idempotency_window_ms.is_some())
    };
    println!("{BREAKS} breaks of the link, seed {seed}: {verdict}, classes run twice {classes:?}");
    print_attempts(&records, &[Outcome::Lost, Outcome::Unanswered, Outcome::WrongResult]);
    let log = process.log_lines().join("\n");

    assert!(wrong_replies.is_empty(), "seed {seed}: replies to other calls: {wrong_replies:?}\n{log}");
    // The pages allow a second run of a class without effects, whose start may have been lost with the link.
    let broken_rules = verdict.broken_rules() - verdict.run_twice;
    assert_eq!(broken_rules, 0, "seed {seed}: a rule is broken: {verdict}\n{log}");
    assert!(!classes.iter().any(is_keyed), "seed {seed}: a keyed request ran twice: {classes:?}\n{log}");
    assert_eq!(verdict.without_response(), 0, "seed {seed}: requests without a response: {verdict}\n{log}");
}

/// Returns the class of each run whose id an earlier run has.
fn classes_run_twice(runs: &[StartedRun]) -> Vec<&'static str> {
    let mut ids = HashSet::new();
    runs.iter().filter(|run| !ids.insert(run.id.as_str())).map(|run| run.class).collect()
}
