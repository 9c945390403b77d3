//! Changes of quotas and class limits in the admission controller while requests run.

mod common;

use common::{Driver, settings};
use dunlinspread::{
    Action, Arrival, ClassLimitChange, Event, Gauges, Outcome, QuotaChange, Reconfiguration, Settings,
};

const SAFE: usize = 0;
const KEYED: usize = 1;
const NONE: [u64; 0] = [];

fn class_limit(class: usize, max_running: Option<usize>) -> Event {
    let class_limits = vec![ClassLimitChange { class, max_running }];
    Event::Reconfigured(Box::new(Reconfiguration { class_limits, ..Reconfiguration::default() }))
}

fn quota_changes(changes: &[(usize, Option<f64>)]) -> Event {
    let quota_list =
        changes.iter().map(|(tenant, per_second)| QuotaChange { tenant: *tenant, per_second: *per_second });
    let quota_list = quota_list.collect();
    Event::Reconfigured(Box::new(Reconfiguration { quotas: quota_list, ..Reconfiguration::default() }))
}

fn runs(actions: &[Action]) -> Vec<u64> {
    let run = |action: &Action| if let Action::Run(id) = action { Some(*id) } else { None };
    actions.iter().filter_map(run).collect()
}

/// Returns settings with cores for more runs than the tests start.
fn many_cores() -> Settings {
    Settings { cores: 8.0, ..settings() }
}

#[test]
fn a_class_at_its_limit_starts_no_more_and_others_go_on() {
    let mut driver = Driver::new(many_cores());
    assert_eq!(driver.send(class_limit(SAFE, Some(2))), []);
    let (first, actions) = driver.arrive(SAFE);
    assert_eq!(runs(&actions), [first]);
    let (second, actions) = driver.arrive(SAFE);
    assert_eq!(runs(&actions), [second]);
    let (third, actions) = driver.arrive(SAFE);
    assert_eq!(actions, [], "the third waits");
    let (keyed, actions) = driver.arrive(KEYED);
    assert_eq!(runs(&actions), [keyed], "another class still starts runs");
    assert_eq!(
        runs(&driver.end(keyed, Outcome::Ok)),
        NONE,
        "a run started although its class is at its limit"
    );
    assert_eq!(runs(&driver.end(first, Outcome::Ok)), [third]);
}

#[test]
fn a_request_at_a_call_counts_to_its_class() {
    let mut driver =
        Driver::new(Settings { has_upstream: true, upstream_call_share: Some(1.0), ..many_cores() });
    driver.send(class_limit(SAFE, Some(1)));
    let (first, _) = driver.arrive(SAFE);
    driver.send(Event::UpstreamCallNeeded(first));
    let (second, actions) = driver.arrive(SAFE);
    assert_eq!(runs(&actions), NONE);
    let answered = driver.send(Event::UpstreamCallEnded { id: first, outcome: Outcome::Ok, took_ms: 5.0 });
    assert_eq!(runs(&answered), NONE);
    assert_eq!(runs(&driver.end(first, Outcome::Ok)), [second]);
}

#[test]
fn runs_in_progress_stay_when_a_limit_comes_and_queued_ones_start_when_it_goes() {
    let mut driver = Driver::new(many_cores());
    let running: Vec<u64> = (0..4).map(|_| driver.arrive(SAFE).0).collect();
    assert_eq!(driver.send(class_limit(SAFE, Some(1))), [], "nothing is stopped, rejected or failed");
    let (queued, actions) = driver.arrive(SAFE);
    assert_eq!(actions, []);
    for id in &running[..3] {
        assert_eq!(runs(&driver.end(*id, Outcome::Ok)), NONE, "one run is still in progress");
    }
    assert_eq!(runs(&driver.send(class_limit(SAFE, None))), [queued]);
}

#[test]
fn a_limit_raised_starts_as_many_as_it_lets() {
    let mut driver = Driver::new(many_cores());
    driver.send(class_limit(SAFE, Some(1)));
    let arrive = |driver: &mut Driver| {
        driver.now += 1.0;
        driver.arrive(SAFE).0
    };
    let ids: Vec<u64> = (0..5).map(|_| arrive(&mut driver)).collect();
    assert_eq!(runs(&driver.send(class_limit(SAFE, Some(3)))), ids[1..3], "the earliest first");
}

#[test]
fn what_waits_for_its_class_alone_does_not_raise_the_level_or_the_threshold() {
    let gauges = Gauges { busy: Some(1.0), run_queue: Some(1.0), ..Gauges::default() };
    let level = |limited: bool| {
        let mut driver = Driver::new(Settings { memory_kb: 1e6, ..settings() });
        if limited {
            driver.send(class_limit(SAFE, Some(1)));
        }
        for _ in 0..200 {
            driver.arrive(SAFE);
        }
        for _ in 0..8 {
            driver.now += 50.0;
            driver.send(Event::Timer { token: 1, gauges });
        }
        driver.controller.level()
    };
    assert_eq!((level(false), level(true)), (3, 0));
}

/// Queues arrivals of two tenants, three of four of them from the first, and returns the order in which they
/// run. Requests beyond a quota have no weight, so they run last.
fn order_of_runs(driver: &mut Driver, flood: usize, other: usize) -> Vec<u64> {
    let mut running: Vec<u64> = (0..2).map(|_| driver.arrive(KEYED).0).collect();
    let first = running[1] + 1;
    for at in 0..80 {
        driver.now += 1.0;
        let tenant = if at % 4 == 0 { other } else { flood };
        let arrival = Arrival { tenant, ..driver.arrival(SAFE) };
        assert_eq!(driver.send(Event::Arrival(arrival)), [], "it is queued");
    }
    let mut order = Vec::new();
    while let Some(id) = running.pop() {
        let started = runs(&driver.end(id, Outcome::Ok));
        order.extend(started.iter().map(|id| id - first));
        running.extend(started);
    }
    assert_eq!(order.len(), 80);
    order
}

/// Returns how many requests in this order of runs were beyond a quota.
fn beyond_quota(order: &[u64]) -> usize {
    let within = order.windows(2).take_while(|pair| pair[0] < pair[1]).count() + 1;
    order.len() - within
}

fn with_tenants(tenant_quotas: Vec<f64>) -> Driver {
    Driver::new(Settings { tenant_quotas, over_quota_weight: 0.0, memory_kb: 1e6, ..settings() })
}

#[test]
fn a_quota_that_is_added_is_judged_like_one_from_the_start() {
    let expected = order_of_runs(&mut with_tenants(vec![10.0, 100.0]), 0, 1);
    assert!(beyond_quota(&expected) > 10, "the flood is not detected: {expected:?}");
    let mut changed = with_tenants(vec![500.0, 1.0]);
    assert_eq!(changed.send(quota_changes(&[(0, Some(10.0)), (1, Some(100.0))])), []);
    assert_eq!(order_of_runs(&mut changed, 0, 1), expected);
    let mut grown = with_tenants(Vec::new());
    grown.send(quota_changes(&[(1, Some(100.0)), (0, Some(10.0))]));
    assert_eq!(order_of_runs(&mut grown, 0, 1), expected);
    let mut generous = with_tenants(vec![10.0, 100.0]);
    generous.send(quota_changes(&[(0, Some(300.0))]));
    assert_eq!(beyond_quota(&order_of_runs(&mut generous, 0, 1)), 0);
}

#[test]
fn an_index_that_is_freed_starts_anew_and_counts_for_nothing_meanwhile() {
    let expected = order_of_runs(&mut with_tenants(vec![10.0, 100.0]), 0, 1);
    let mut reused = with_tenants(vec![10.0, 100.0, 50.0]);
    for _ in 0..50 {
        let arrival = Arrival { tenant: 2, ..reused.arrival(SAFE) };
        let id = arrival.id;
        reused.send(Event::Arrival(arrival));
        reused.end(id, Outcome::Ok);
    }
    reused.send(quota_changes(&[(2, None)]));
    assert_eq!(order_of_runs(&mut reused, 0, 1), expected);
    // A tenant index outside of the list has no quota, and does not end the program.
    let arrival = Arrival { tenant: usize::MAX, ..reused.arrival(SAFE) };
    let id = arrival.id;
    assert_eq!(runs(&reused.send(Event::Arrival(arrival))), [id]);
}

/// Many changes leave no rounding error in the values that the controller derives from all quotas.
#[test]
fn many_changes_leave_no_drift() {
    let mut stated = vec![100.0 / 49.0; 50];
    stated[0] = 10.0;
    let expected = order_of_runs(&mut with_tenants(stated.clone()), 0, 1);
    assert!(beyond_quota(&expected) > 10, "the flood is not detected: {expected:?}");
    let mut changed = with_tenants(vec![0.1; 50]);
    for round in 0..20_000u32 {
        let tenant = (round % 50) as usize;
        changed.send(quota_changes(&[(tenant, Some(f64::from(round) * 1e7 % 1e9 + 0.1))]));
    }
    let last: Vec<(usize, Option<f64>)> = stated.iter().copied().map(Some).enumerate().collect();
    changed.send(quota_changes(&last));
    assert_eq!(order_of_runs(&mut changed, 0, 1), expected);
}
