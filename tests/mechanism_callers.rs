//! Limits on tenants and instructions to clients: quotas, idle timeouts of connections and the retry delay.
mod common;
use common::{Driver, rejected, settings};
use dunlinspread::{Action, Arrival, Event, Outcome, Settings};

#[test]
fn a_tenant_over_its_quota_is_shed_first() {
    let settings = Settings { tenant_quotas: vec![4.0, 1000.0], over_quota_weight: 0.05, ..settings() };
    let mut driver = Driver::new(settings);
    (0..30).for_each(|_| drop(driver.tick(1.0, 60.0)));
    (0..2).for_each(|_| drop(driver.arrive(0)));
    let mut rejections = [0, 0];
    for i in 0..40 {
        let arrival = Arrival { tenant: i % 2, ..driver.arrival(0) };
        let id = arrival.id;
        rejections[i % 2] += usize::from(rejected(&driver.send(Event::Arrival(arrival)), id));
    }
    assert!(rejections[0] > 10, "over its quota: {rejections:?}");
    assert_eq!(rejections[1], 0, "within its quota");
}

/// Guards against a connection table that fills up with the idle connections of many clients.
#[test]
fn connections_of_clients_that_come_seldom_close_soon_and_those_of_frequent_ones_stay() {
    let last_limit = |clients: f64| {
        let mut driver =
            Driver::new(Settings { client_count: clients, client_idle_timeout_ms: 30_000.0, ..settings() });
        let mut limit = 30_000.0;
        for at in 0..200 {
            let (id, _) = driver.arrive(0);
            driver.end(id, Outcome::Ok);
            let actions = (0..4).flat_map(|_| driver.tick(0.5, 1.0));
            let timeout_ms = |action| {
                if let Action::SetIdleTimeout(timeout_ms) = action { Some(timeout_ms) } else { None }
            };
            let changes: Vec<f64> = actions.filter_map(timeout_ms).collect();
            assert!(at < 20 || changes.is_empty(), "the limit settles");
            limit = changes.last().copied().unwrap_or(limit);
        }
        limit
    };
    assert_eq!(last_limit(20.0), 30_000.0, "five arrivals a second from 20 clients: 7 uses in the limit");
    assert!(last_limit(1000.0) < 1000.0, "from 1,000 clients: 0.15 uses in the limit");
    assert!(
        last_limit(f64::NAN) > 1000.0 && last_limit(0.0) > 1000.0,
        "number of clients unknown: the clients' own limit"
    );
}

/// An even share of a quota may be about one request a second, and the number of arrivals varies by chance
/// around it.
#[test]
fn tenants_within_their_quota_are_not_marked_by_chance_nor_where_clients_prefer_an_instance() {
    let rejections_of = |gap_ms: f64, shares: [f64; 2]| {
        let settings = Settings {
            server_count: 350.0,
            tenant_quotas: shares.to_vec(),
            over_quota_weight: 0.05,
            ..settings()
        };
        let mut driver = Driver::new(settings);
        (0..30).for_each(|_| drop(driver.tick(1.0, 60.0)));
        let threshold = driver.controller.priority_threshold();
        let (running, _) = driver.arrive(0);
        driver.arrive(0);
        let mut rejections = 0;
        for i in 0..60 {
            driver.now += gap_ms;
            driver.progress(running);
            let arrival =
                Arrival { tenant: usize::from(i % 3 == 0), priority: threshold + 0.1, ..driver.arrival(0) };
            let id = arrival.id;
            rejections += usize::from(rejected(&driver.send(Event::Arrival(arrival)), id));
        }
        rejections
    };
    // This server's parts of the quotas are 2 and 1 a second. The arrivals are 3.3 a second, then 100 a
    // second.
    assert_eq!(rejections_of(300.0, [700.0, 350.0]), 0);
    assert_eq!(rejections_of(10.0, [700.0, 350.0]), 0, "more requests of all tenants alike");
    assert!(rejections_of(10.0, [35.0, 3500.0]) > 10, "a tenant far over its share");
    assert_eq!(rejections_of(10.0, [0.0, 0.0]), 0, "no quota stated");
}

/// A tenant at three times its quota is detected at six arrivals a second.
#[test]
fn a_tenants_excess_is_marked_at_a_few_arrivals_a_second_and_its_quota_is_not() {
    let settings = Settings {
        server_count: 20.0,
        tenant_quotas: vec![28.0, 19.0, 18.0],
        over_quota_weight: 0.05,
        ..settings()
    };
    let mut driver = Driver::new(settings);
    // The tenants send this server 4.5, 0.8 and 0.7 requests a second; its shares of their quotas are 1.4, 1
    // and 0.9.
    let (mut sent, mut rejections) = ([0, 0, 0], [0, 0, 0]);
    let (running, _) = driver.arrive(1);
    for i in 0..240 {
        (0..3).for_each(|_| drop(driver.tick(1.0, 60.0)));
        driver.progress(running);
        let tenant = if i % 8 == 3 {
            1
        } else if i % 8 == 7 {
            2
        } else {
            0
        };
        let arrival = Arrival { tenant, priority: 0.9, ..driver.arrival(0) };
        let id = arrival.id;
        let actions = driver.send(Event::Arrival(arrival));
        if i >= 80 {
            sent[tenant] += 1;
            rejections[tenant] += usize::from(rejected(&actions, id));
        }
    }
    assert_eq!((rejections[1], rejections[2]), (0, 0), "within their shares: {rejections:?} of {sent:?}");
    let admitted = sent[0] - rejections[0];
    assert!((24..=80).contains(&admitted), "its share is some 37 of {}: {admitted} admitted", sent[0]);
}

/// While opening connections occupies the cores, closing idle ones would only make clients open more.
#[test]
fn a_storm_of_new_connections_keeps_them_until_the_cores_idle() {
    let mut driver =
        Driver::new(Settings { client_count: 900.0, client_idle_timeout_ms: 30_000.0, ..settings() });
    let limits = |actions: Vec<Action>| {
        let of = |action: &Action| if let Action::SetIdleTimeout(ms) = action { Some(*ms) } else { None };
        actions.iter().filter_map(of).next_back()
    };
    let mut calm = Vec::new();
    (0..40).for_each(|_| calm.extend(driver.tick(0.5, 1.0)));
    assert_eq!(limits(calm), Some(200.0), "seldom used: closed soon");
    let mut usual = Vec::new();
    (0..40).for_each(|_| usual.extend(driver.tick(1.0, 4.0)));
    assert_eq!(limits(usual), None, "full cores alone change nothing");
    let mut storm = Vec::new();
    (0..60).for_each(|_| storm.extend(driver.tick(1.0, 30.0)));
    assert_eq!(limits(storm), Some(30_000.0), "kept in a storm");
    let mut full = Vec::new();
    (0..40).for_each(|_| full.extend(driver.tick(1.0, 4.0)));
    assert_eq!(limits(full), None, "kept while the cores are full");
    let mut idle = Vec::new();
    (0..60).for_each(|_| idle.extend(driver.tick(0.5, 1.0)));
    assert_eq!(limits(idle), Some(200.0));
}

/// Clients that choose the instance with the fastest responses would return at once to one that rejects.
#[test]
fn a_rejection_carries_a_retry_after_within_the_settings_and_a_clients_usual_gap() {
    let retry_after = |settings: Settings| {
        let mut driver = Driver::new(settings);
        let (mut longest, mut running) = (0.0f64, Vec::new());
        for _ in 0..200 {
            driver.tick(1.0, 60.0);
            let arrival = Arrival { priority: 0.9, ..driver.arrival(0) };
            running.push(arrival.id);
            driver.send(Event::Arrival(arrival));
            if running.len() > 4 {
                driver.end(running.remove(0), Outcome::Ok);
            }
            let arrival = Arrival { priority: 0.1, ..driver.arrival(0) };
            for action in driver.send(Event::Arrival(arrival)) {
                if let Action::Reject { retry_after_ms, .. } = action {
                    longest = longest.max(retry_after_ms);
                }
            }
        }
        longest
    };
    let enabled = Settings { retry_after: true, max_retry_after_ms: 1000.0, ..settings() };
    assert_eq!(retry_after(settings()), 0.0, "clients read no retry delay");
    assert_eq!(
        retry_after(Settings { client_count: 500.0, ..enabled.clone() }),
        1000.0,
        "many clients: the longest delay that the settings allow"
    );
    let few = retry_after(Settings { client_count: 4.0, ..enabled });
    assert!((50.0..=200.0).contains(&few), "four clients at 20 a second come every 200 ms: {few}");
}

/// With half of the traffic beyond quota, the threshold stays within the priorities of that half long enough
/// for the level to fall.
#[test]
fn the_threshold_rejects_as_much_a_step_within_an_excess_as_elsewhere() {
    let settings = Settings {
        server_count: 20.0,
        tenant_quotas: vec![20.0, 20.0],
        over_quota_weight: 0.05,
        ..settings()
    };
    let mut driver = Driver::new(settings);
    let (running, _) = driver.arrive(1);
    let (mut excess, mut rejections) = (0, [0, 0]);
    for i in 0..200 {
        driver.progress(running);
        // Nine of ten requests are of the first tenant and one is of the other; this server's part of each
        // quota is one request a second.
        driver.tick(if i < 170 { 0.5 } else { 1.0 }, if i < 170 { 1.0 } else { 60.0 });
        let tenant = usize::from(i % 10 == 9);
        let arrival = Arrival { tenant, priority: f64::from(i % 7) / 7.0, ..driver.arrival(0) };
        let id = arrival.id;
        let actions = driver.send(Event::Arrival(arrival));
        if i < 170 {
            driver.end(id, Outcome::Ok);
        } else if i < 190 {
            excess += 1 - tenant;
            rejections[tenant] += usize::from(rejected(&actions, id));
        }
    }
    assert!(
        rejections[0] > 0 && rejections[0] < excess * 2 / 3,
        "a fifth of the way up the range of priorities: {rejections:?} of {excess}"
    );
    assert_eq!(rejections[1], 0, "rejected within its quota");
}
