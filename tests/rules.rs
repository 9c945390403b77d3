//! The four rules of the admission controller. Each test fails if the guard that it names is removed.
mod common;
use common::{Driver, answers, rejected, runs, settings};
use dunlinspread::{Action, Arrival, Event, Gauges, Outcome, Preemption, Settings, Signal};

#[test]
fn a_running_request_is_answered_by_its_deadline() {
    let mut driver = Driver::new(settings());
    let (id, actions) = driver.arrive(1);
    assert!(runs(&actions, id));
    let actions = driver.run_until(2990.0);
    assert_eq!(answers(&actions, id), 1);
    assert_eq!(answers(&driver.run_until(4000.0), id), 0, "one final answer");
    assert!(actions.contains(&Action::Fail(id)), "a keyed request that ran is never rejected");
}

#[test]
fn age_counts_where_no_deadline_is_passed() {
    let mut driver = Driver::new(settings());
    let arrival = Arrival { age_ms: 2000.0, ..driver.arrival(2) };
    let id = arrival.id;
    driver.send(Event::Arrival(arrival));
    assert_eq!(answers(&driver.run_until(990.0), id), 1);
}

#[test]
fn a_passed_deadline_is_kept_and_one_already_due_is_answered_at_once() {
    let mut driver = Driver::new(settings());
    let arrival = Arrival { deadline: Some(500.0), ..driver.arrival(2) };
    let id = arrival.id;
    driver.send(Event::Arrival(arrival));
    assert_eq!(answers(&driver.run_until(490.0), id), 1);
    let arrival = Arrival { deadline: Some(driver.now - 50.0), ..driver.arrival(0) };
    let id = arrival.id;
    let actions = driver.send(Event::Arrival(arrival));
    assert_eq!(answers(&actions, id), 1);
    assert!(!runs(&actions, id));
}

#[test]
fn requests_at_a_call_suspended_or_waiting_for_another_are_answered_in_time() {
    let mut driver =
        Driver::new(Settings { has_upstream: true, upstream_call_share: Some(5.0), ..settings() });
    let (calling, _) = driver.arrive(1);
    assert!(
        driver
            .send(Event::UpstreamCallNeeded(calling))
            .iter()
            .any(|action| matches!(action, Action::CallUpstream { .. }))
    );
    let (waiting, actions) = driver.repeat(1, calling);
    assert_eq!(actions, vec![Action::ReuseResult(waiting)]);
    let actions = driver.run_until(2990.0);
    assert_eq!((answers(&actions, calling), answers(&actions, waiting)), (1, 1));

    let mut driver = Driver::new(Settings { preemption: Preemption::Suspend, ..settings() });
    let (paused, _) = driver.arrive(1);
    driver.send(Event::RunEnded { id: paused, outcome: Outcome::Cancelled, took_ms: 1.0 });
    assert_eq!(answers(&driver.run_until(2990.0), paused), 1);
}

#[test]
fn a_gone_client_gets_no_response_and_its_idempotent_run_is_stopped() {
    let mut driver = Driver::new(Settings { preemption: Preemption::Abort, ..settings() });
    let (id, _) = driver.arrive(0);
    assert!(driver.send(Event::ClientGone(id)).contains(&Action::Preempt(id)));
    assert_eq!(answers(&driver.run_until(4000.0), id), 0);
}

#[test]
fn a_keyed_request_is_reserved_before_it_runs_for_its_window_from_arrival() {
    let mut driver = Driver::new(settings());
    let arrival = Arrival { age_ms: 500.0, ..driver.arrival(1) };
    let id = arrival.id;
    let actions = driver.send(Event::Arrival(arrival));
    let kept = actions.iter().position(
        |action| matches!(action, Action::ReserveKey { id: x, ttl_ms } if *x == id && *ttl_ms >= 9500.0),
    );
    let ran = actions.iter().position(|action| *action == Action::Run(id));
    assert!(kept.is_some() && ran.is_some() && kept < ran, "{actions:?}");
}

#[test]
fn a_duplicate_after_the_run_takes_its_result_and_is_neither_run_nor_rejected() {
    let mut driver = Driver::new(settings());
    let (first, _) = driver.arrive(1);
    let (during, actions) = driver.repeat(1, first);
    assert_eq!(actions, vec![Action::ReuseResult(during)], "also in the same batch");
    driver.end(first, Outcome::Ok);
    (0..20).for_each(|_| drop(driver.tick(1.0, 60.0)));
    let arrival = Arrival { duplicate_of: Some(first), priority: 0.0, ..driver.arrival(1) };
    let id = arrival.id;
    assert_eq!(
        driver.send(Event::Arrival(arrival)),
        vec![Action::ReuseResult(id)],
        "under the threshold too"
    );
}

#[test]
fn a_duplicate_of_a_queued_request_waits_and_takes_over_when_the_first_never_ran() {
    let mut driver = Driver::new(settings());
    let blockers: Vec<u64> = (0..2).map(|_| driver.arrive(2).0).collect();
    let first = Arrival { deadline: Some(400.0), ..driver.arrival(1) };
    let first_id = first.id;
    driver.send(Event::Arrival(first));
    let (second, actions) = driver.repeat(1, first_id);
    assert!(actions.is_empty(), "queued like the first: {actions:?}");
    let actions = driver.run_until(400.0);
    assert_eq!(answers(&actions, first_id), 1);
    assert!(
        actions.iter().any(|action| matches!(action, Action::ReserveKey { id, .. } if *id == second)),
        "the reservation is not transferred: {actions:?}"
    );
    assert!(runs(&driver.end(blockers[0], Outcome::Ok), second));
}

#[test]
fn a_waiting_duplicate_never_runs_beside_its_original() {
    let mut driver = Driver::new(settings());
    let blockers: Vec<u64> = (0..2).map(|_| driver.arrive(2).0).collect();
    let (first, _) = driver.arrive(1);
    let (second, _) = driver.repeat(1, first);
    let mut actions = driver.end(blockers[0], Outcome::Ok);
    actions.extend(driver.end(blockers[1], Outcome::Ok));
    assert!(runs(&actions, first) && !runs(&actions, second));
    assert!(actions.contains(&Action::ReuseResult(second)));
}

#[test]
fn a_reservation_is_released_when_its_request_never_ran() {
    let mut driver = Driver::new(settings());
    (0..2).for_each(|_| drop(driver.arrive(2)));
    let (id, _) = driver.arrive(1);
    assert!(driver.send(Event::ClientGone(id)).contains(&Action::ReleaseKey(id)));
}

#[test]
fn no_memory_for_the_reservation_means_no_run() {
    let mut driver = Driver::new(Settings { memory_kb: 100.0, key_memory_kb: 50.0, ..settings() });
    let (id, actions) = driver.arrive(1);
    assert!(rejected(&actions, id) && !runs(&actions, id));
    let (safe, actions) = driver.arrive(0);
    assert!(runs(&actions, safe), "a safe one of the same size fits");
}

#[test]
fn a_keyed_request_that_was_stopped_never_runs_again() {
    let mut driver = Driver::new(Settings { preemption: Preemption::Abort, ..settings() });
    let (id, _) = driver.arrive(1);
    driver.send(Event::RunEnded { id, outcome: Outcome::Cancelled, took_ms: 5.0 });
    assert!(!runs(&driver.run_until(4000.0), id));
}

#[test]
fn a_run_that_was_cancelled_unasked_is_answered() {
    let mut driver = Driver::new(Settings { preemption: Preemption::Abort, ..settings() });
    let (id, _) = driver.arrive(1);
    let actions = driver.send(Event::RunEnded { id, outcome: Outcome::Cancelled, took_ms: 5.0 });
    assert_eq!(actions.first(), Some(&Action::Fail(id)));
}

/// A duplicate replaces an original that never ran, unless it arrived after the drain grace.
#[test]
fn a_duplicate_that_came_after_the_grace_is_not_run_in_its_originals_place() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|c| c.latency_objective_ms = 2800.0);
    let mut driver = Driver::new(settings);
    let blockers: Vec<u64> = (0..2).map(|_| driver.arrive(2).0).collect();
    let first = Arrival { deadline: Some(1800.0), ..driver.arrival(1) };
    let first_id = first.id;
    driver.send(Event::Arrival(first));
    driver.send(Event::Drain { stop_at: 2900.0 });
    driver.run_until(1500.0);
    let (late, _) = driver.repeat(1, first_id);
    let mut actions = driver.run_until(1800.0);
    assert_eq!(answers(&actions, first_id), 1);
    actions.extend(driver.end(blockers[0], Outcome::Ok));
    actions.extend(driver.run_until(2880.0));
    assert!(!runs(&actions, late));
    assert_eq!(answers(&actions, late), 1);
}

#[test]
fn a_drain_runs_nothing_that_came_after_the_grace_and_answers_all_before_the_stop() {
    let mut driver = Driver::new(settings());
    let (running, _) = driver.arrive(1);
    driver.now = 100.0;
    let actions = driver.send(Event::Drain { stop_at: 1900.0 });
    assert!(actions.contains(&Action::SetHealth(false)));
    assert!(actions.contains(&Action::AdvertiseShare(0.0)));
    let (early, actions) = driver.arrive(0);
    assert!(runs(&actions, early));
    let mut all = driver.run_until(1150.0);
    let (late, actions) = driver.arrive(0);
    assert!(rejected(&actions, late) && !runs(&actions, late));
    let aged = Arrival { age_ms: 200.0, ..driver.arrival(1) };
    let aged_id = aged.id;
    driver.end(early, Outcome::Ok);
    assert!(runs(&driver.send(Event::Arrival(aged)), aged_id), "it reached the machine within the grace");
    all.extend(driver.run_until(1890.0));
    assert_eq!((answers(&all, running), answers(&all, aged_id)), (1, 1));
}

#[test]
fn runs_stay_under_the_survivable_number_and_lower_while_cold() {
    let fill = |settings: Settings| {
        let limit = settings.cores * settings.survivable_runs_per_core;
        let mut driver = Driver::new(settings);
        let count = (0..60)
            .filter(|_| driver.arrive(0).1.iter().any(|action| matches!(action, Action::Run(_))))
            .count();
        (count as f64, limit)
    };
    let (warm, limit) = fill(Settings { survivable_runs_per_core: 1.5, cores: 8.0, ..settings() });
    assert!(warm >= 8.0 && warm < limit);
    let cold = Settings { cold_start: true, cold_start_speed: 0.1, warm_up_ms: 10_000.0, ..settings() };
    let (cold, _) = fill(Settings { survivable_runs_per_core: 1.5, cores: 8.0, ..cold });
    assert!(cold < warm && cold >= 1.0);
}

#[test]
fn memory_for_queued_running_and_reserved_stays_within_the_limit() {
    let settings = Settings { memory_kb: 1000.0, ..settings() };
    let mut driver = Driver::new(settings);
    let mut used = 0.0;
    for i in 0..200 {
        let (id, actions) = driver.arrive(i % 2);
        used += if rejected(&actions, id) { 0.0 } else { 20.0 };
        used += actions
            .iter()
            .map(|action| if matches!(action, Action::Run(_)) { 60.0 } else { 0.0 })
            .sum::<f64>();
        used += actions
            .iter()
            .map(|action| if matches!(action, Action::ReserveKey { .. }) { 50.0 } else { 0.0 })
            .sum::<f64>();
        assert!(used <= 1000.0);
    }
    assert!(used > 500.0);
}

#[test]
fn unknown_ids_classes_and_absurd_numbers_are_met() {
    let mut driver = Driver::new(settings());
    let arrival = Arrival { class: 99, ..driver.arrival(0) };
    let id = arrival.id;
    assert!(rejected(&driver.send(Event::Arrival(arrival)), id), "an unknown class is never run");
    for x in [f64::NAN, f64::INFINITY, -1e300, 1e300] {
        let arrival = Arrival {
            tenant: 77,
            age_ms: x,
            request_kb: x,
            priority: x,
            deadline: Some(x),
            cost_ms: Some(x),
            ..driver.arrival(1)
        };
        let id = arrival.id;
        let mut actions = driver.send(Event::Arrival(arrival));
        actions.extend(driver.run_until(driver.now + 4000.0));
        assert_eq!(answers(&actions, id), 1, "{x}");
        driver.end(id, Outcome::Ok);
    }
    for outcome in [Outcome::Ok, Outcome::Cancelled, Outcome::NotStarted] {
        assert!(driver.end(12345, outcome).is_empty());
        driver.send(Event::UpstreamCallEnded { id: 12345, outcome, took_ms: f64::NAN });
    }
    driver.send(Event::UpstreamCallNeeded(12345));
    driver.send(Event::ClientGone(12345));
    driver.send(Event::Timer { token: 999, gauges: Gauges::default() });
    driver.send(Event::Drain { stop_at: f64::NAN });
    let bad =
        Settings { cores: f64::NAN, server_count: 0.0, memory_kb: f64::NAN, tick_ms: -1.0, ..settings() };
    let mut driver = Driver::new(bad);
    let (id, actions) = driver.arrive(0);
    assert!(rejected(&actions, id), "no memory limit is stated, so nothing fits");
}

#[test]
fn absurd_settings_and_times_that_stand_still_panic_nowhere_and_each_request_gets_one_answer() {
    let odd: [fn(&mut Settings); 9] = [
        |s| (s.server_count, s.client_count, s.client_idle_timeout_ms) = (0.0, 0.0, f64::NAN),
        |s| (s.upstream_call_share, s.upstream_window_ms) = (Some(0.0), 0.0),
        |s| (s.upstream_call_share, s.call_linger_ms) = (Some(f64::INFINITY), 1e12),
        |s| s.tenant_quotas = vec![0.0, f64::NAN, f64::INFINITY, -1.0],
        |s| (s.cores, s.survivable_runs_per_core) = (1.0, 0.0),
        |s| (s.cores, s.survivable_runs_per_core) = (0.0, f64::INFINITY),
        |s| s.signal = Signal::Other,
        |s| {
            s.classes.iter_mut().for_each(|c| {
                (c.latency_objective_ms, c.client_timeout_ms, c.priority_weight) = (0.0, f64::NAN, -1.0)
            })
        },
        |s| {
            s.classes
                .iter_mut()
                .for_each(|c| (c.degraded_weight, c.key_window_ms) = (f64::NAN, f64::INFINITY))
        },
    ];
    for (at, change) in odd.iter().enumerate() {
        let mut settings = Settings { has_upstream: true, preemption: Preemption::Suspend, ..settings() };
        change(&mut settings);
        let mut driver = Driver::new(settings);
        let mut all = Vec::new();
        let mut ids = Vec::new();
        for i in 0..40 {
            let arrival = Arrival { tenant: i % 5, ..driver.arrival(i % 3) };
            ids.push(arrival.id);
            all.extend(driver.send(Event::Arrival(arrival)));
            if i % 4 == 0 {
                all.extend(driver.send(Event::UpstreamCallNeeded(ids[i])));
            }
            // The time does not advance, and no gauge is available.
            all.extend(driver.send(Event::Timer { token: 1, gauges: Gauges::default() }));
        }
        for _ in 0..200 {
            driver.now += 50.0;
            all.extend(driver.send(Event::Timer { token: 1, gauges: Gauges::default() }));
        }
        for id in ids {
            assert_eq!(answers(&all, id), 1, "settings {at}, request {id}");
        }
        assert!(
            all.iter().all(|action| !matches!(action, Action::AdvertiseShare(v) if !(0.0..=1.0).contains(v)))
        );
        assert!(
            all.iter()
                .all(|action| !matches!(action, Action::SetIdleTimeout(ms) if ms.is_nan() || *ms < 10.0))
        );
    }
}

#[test]
fn an_idempotent_run_waiting_for_a_call_past_an_objective_without_late_weight_is_rejected() {
    let mut settings = Settings { has_upstream: true, upstream_call_share: Some(0.0), ..settings() };
    settings.classes[0].late_weight = 0.0;
    let mut driver = Driver::new(settings);
    let (id, _) = driver.arrive(0);
    driver.send(Event::UpstreamCallNeeded(id));
    assert!(rejected(&driver.run_until(1000.0), id));
}

#[test]
fn past_an_objective_without_late_weight_a_write_goes_on_and_an_idempotent_run_is_rejected() {
    for (class, is_rejected) in [(0, true), (1, false), (2, false)] {
        let mut settings = Settings { preemption: Preemption::Abort, ..settings() };
        settings.classes.iter_mut().for_each(|c| c.late_weight = 0.0);
        let mut driver = Driver::new(settings);
        let (id, _) = driver.arrive(class);
        let mut actions = Vec::new();
        for _ in 0..24 {
            driver.progress(id);
            actions.extend(driver.tick(1.0, 2.0));
        }
        assert_eq!(answers(&actions, id) == 1, is_rejected, "class {class}");
    }
}
