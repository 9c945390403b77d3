//! The overload level, the advertised share and the priority threshold.
mod common;
use common::{Driver, answers, rejected, runs, settings};
use dunlinspread::{
    Action, AdmissionController, Arrival, Event, Gauges, Outcome, Preemption, Settings, Signal,
};

fn advertised_shares(actions: &[Action]) -> Vec<f64> {
    actions
        .iter()
        .filter_map(|action| if let Action::AdvertiseShare(v) = action { Some(*v) } else { None })
        .collect()
}

#[test]
fn starts_at_level_zero_with_the_full_share() {
    let mut actions = Vec::new();
    let mut controller = AdmissionController::new(0.0, settings());
    controller.on_event(0.0, Event::Start, &mut actions);
    assert_eq!(advertised_shares(&actions), vec![1.0]);
    assert!(actions.iter().any(|action| matches!(action, Action::SetTimer { token: 1, .. })));
    assert!(actions.contains(&Action::SetHealth(true)));
}

#[test]
fn rises_one_step_a_timer_and_each_step_advertises_a_lower_share() {
    let mut driver = Driver::new(settings());
    let mut last_share = 1.0;
    for level in 1..=3 {
        let advertised = advertised_shares(&driver.tick(1.0, 60.0));
        assert_eq!(driver.controller.level(), level);
        assert_eq!(advertised.len(), 1);
        assert!(advertised[0] < last_share && advertised[0] > 0.0);
        last_share = advertised[0];
    }
    assert!(advertised_shares(&driver.tick(1.0, 60.0)).is_empty(), "the share is sent only when it changes");
    assert_eq!(driver.controller.level(), 3);
}

#[test]
fn falls_only_after_calm_and_step_by_step() {
    let mut driver = Driver::new(settings());
    (0..3).for_each(|_| drop(driver.tick(1.0, 60.0)));
    driver.tick(0.1, 0.0);
    assert_eq!(driver.controller.level(), 3, "one calm timer is not enough");
    driver.tick(1.0, 60.0);
    let mut levels = vec![3];
    let mut advertised = Vec::new();
    while driver.controller.level() > 0 && driver.now < 5000.0 {
        advertised.extend(advertised_shares(&driver.tick(0.1, 0.0)));
        if levels.last() != Some(&driver.controller.level()) {
            levels.push(driver.controller.level());
        }
    }
    assert_eq!(levels, vec![3, 2, 1, 0]);
    assert_eq!(advertised.last(), Some(&1.0));
}

#[test]
fn stays_at_level_zero_while_cores_idle() {
    let mut driver = Driver::new(settings());
    (0..20).for_each(|_| drop(driver.tick(0.5, 60.0)));
    assert_eq!(driver.controller.level(), 0);
}

#[test]
fn queued_requests_count_as_run_queue() {
    let mut driver = Driver::new(settings());
    (0..60).for_each(|_| drop(driver.arrive(0)));
    driver.tick(1.0, 2.0);
    assert_eq!(driver.controller.level(), 1, "the gauge alone shows only the runs within the run limit");
}

#[test]
fn missing_and_absurd_gauges_fall_back_on_own_counts() {
    for gauge in [None, Some(f64::NAN), Some(-4.0), Some(1e30), Some(f64::INFINITY)] {
        let mut driver = Driver::new(settings());
        let gauges = Gauges { busy: gauge, run_queue: gauge, ..Gauges::default() };
        driver.send(Event::Timer { token: 1, gauges });
        assert_eq!(driver.controller.level(), 0, "nothing runs: {gauge:?}");
        (0..60).for_each(|_| drop(driver.arrive(0)));
        driver.send(Event::Timer { token: 1, gauges });
        assert_eq!(driver.controller.level(), 1, "the cores are full and the queue is long: {gauge:?}");
    }
}

#[test]
fn the_threshold_rises_and_falls_a_step_a_timer_and_rejects_at_arrival_by_priority() {
    let mut driver = Driver::new(settings());
    let mut thresholds = vec![driver.controller.priority_threshold()];
    for _ in 0..10 {
        driver.tick(1.0, 60.0);
        thresholds.push(driver.controller.priority_threshold());
    }
    assert!(thresholds.windows(2).all(|pair| pair[1] > pair[0]));
    let step = thresholds[1];
    assert!(thresholds.windows(2).all(|pair| (pair[1] - pair[0] - step).abs() < 1e-9));
    let running: Vec<u64> = (0..8).map(|_| driver.arrive(0).0).collect();
    let low = Arrival { priority: driver.controller.priority_threshold() - 0.01, ..driver.arrival(0) };
    let high = Arrival { priority: driver.controller.priority_threshold() + 0.01, ..driver.arrival(0) };
    let (low_id, high_id) = (low.id, high.id);
    assert!(rejected(&driver.send(Event::Arrival(low)), low_id));
    assert_eq!(answers(&driver.send(Event::Arrival(high)), high_id), 0);
    running.iter().chain([&high_id]).for_each(|id| drop(driver.end(*id, Outcome::Ok)));
    let mut before = driver.controller.priority_threshold();
    let mut fell = 0;
    for _ in 0..200 {
        driver.tick(0.1, 0.0);
        if driver.controller.level() == 0 && before > 0.0 {
            assert!(driver.controller.priority_threshold() < before);
            fell += 1;
        }
        before = driver.controller.priority_threshold();
    }
    assert!(fell > 5);
    assert_eq!(driver.controller.priority_threshold(), 0.0);
}

#[test]
fn at_level_zero_with_the_threshold_at_zero_nothing_that_fits_is_rejected() {
    let mut driver = Driver::new(settings());
    for any_priority in [0.0, 0.1, 0.9] {
        let arrival = Arrival { priority: any_priority, ..driver.arrival(0) };
        let id = arrival.id;
        let actions = driver.send(Event::Arrival(arrival));
        assert_eq!(answers(&actions, id), 0);
    }
}

#[test]
fn no_share_is_advertised_where_clients_do_not_read_it_but_the_threshold_works() {
    for signal in [Signal::Off, Signal::Other] {
        let mut driver = Driver::new(Settings { signal, ..settings() });
        let mut all = Vec::new();
        (0..10).for_each(|_| all.extend(driver.tick(1.0, 60.0)));
        all.extend(driver.send(Event::Drain { stop_at: driver.now + 5000.0 }));
        assert!(advertised_shares(&all).is_empty());
        (0..8).for_each(|_| drop(driver.arrive(0)));
        let low = Arrival { priority: 0.0, ..driver.arrival(0) };
        let id = low.id;
        assert!(rejected(&driver.send(Event::Arrival(low)), id));
    }
}

/// While a run could start, the gauges lag behind the load, so the threshold rejects no first attempt.
#[test]
fn the_threshold_rests_while_a_run_could_start_but_not_for_retries_nor_for_a_read_backlog() {
    let overloaded = || {
        let mut driver = Driver::new(settings());
        (0..10).for_each(|_| drop(driver.tick(1.0, 60.0)));
        driver
    };
    let mut driver = overloaded();
    let low = Arrival { priority: 0.0, ..driver.arrival(0) };
    let id = low.id;
    assert!(runs(&driver.send(Event::Arrival(low)), id));
    let retry = Arrival { priority: 0.0, is_retry: true, ..driver.arrival(0) };
    let id = retry.id;
    assert!(rejected(&driver.send(Event::Arrival(retry)), id));
    let mut driver = overloaded();
    let mut last = Vec::new();
    for _ in 0..40 {
        let old = Arrival { priority: 0.0, age_ms: 600.0, ..driver.arrival(0) };
        let id = old.id;
        last = driver.send(Event::Arrival(old));
        driver.end(id, Outcome::Ok);
    }
    assert!(last.iter().any(|action| matches!(action, Action::Reject { .. })));
}

/// The time that requests waited unread shows in their age, not in a gauge.
#[test]
fn requests_that_are_old_when_read_raise_the_level() {
    let level = |age_ms: f64| {
        let mut driver = Driver::new(settings());
        for _ in 0..40 {
            let arrival = Arrival { age_ms, ..driver.arrival(0) };
            let id = arrival.id;
            driver.send(Event::Arrival(arrival));
            driver.end(id, Outcome::Ok);
        }
        driver.tick(1.0, 4.0);
        driver.controller.level()
    };
    assert_eq!((level(1.0), level(900.0)), (0, 1));
}

/// In a retry storm, retries do not run before first attempts.
#[test]
fn a_first_attempt_runs_before_a_marked_retry() {
    let mut driver = Driver::new(settings());
    let running = [driver.arrive(0).0, driver.arrive(0).0];
    let retry = Arrival { is_retry: true, ..driver.arrival(0) };
    let retry_id = retry.id;
    driver.send(Event::Arrival(retry));
    let (fresh, _) = driver.arrive(0);
    let actions = driver.end(running[0], Outcome::Ok);
    assert!(runs(&actions, fresh) && !runs(&actions, retry_id));
}

#[test]
fn idempotent_work_that_misses_its_objective_is_stopped_and_asks_for_no_retry() {
    let mut settings = Settings { preemption: Preemption::Suspend, ..settings() };
    settings.classes[0].late_weight = 0.0;
    let mut driver = Driver::new(settings);
    let (id, actions) = driver.arrive(0);
    assert!(runs(&actions, id));
    let actions = driver.run_until(1100.0);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Reject { id: x, do_not_retry: true, .. } if *x == id))
    );
    assert!(actions.contains(&Action::Preempt(id)));
}

#[test]
fn the_class_with_the_higher_weight_runs_first() {
    let mut settings = settings();
    settings.classes[1].priority_weight = 3.0;
    let mut driver = Driver::new(settings);
    let first: Vec<u64> = (0..2).map(|_| driver.arrive(0).0).collect();
    let (low, high) = (driver.arrive(0).0, driver.arrive(1).0);
    let actions = driver.end(first[0], Outcome::Ok);
    assert!(runs(&actions, high) && !runs(&actions, low));
}

/// Runs that wait for the disk do not count in the run queue, so idle cores beside a full queue show them.
#[test]
fn cores_that_idle_beside_a_full_queue_let_more_runs_start_within_the_survivable_number() {
    let mut driver = Driver::new(settings());
    (0..20).for_each(|_| drop(driver.arrive(0)));
    let mut started = 0;
    for _ in 0..15 {
        let actions = driver.tick(0.5, 2.0);
        started += actions.iter().filter(|action| matches!(action, Action::Run(_))).count();
    }
    assert!(started >= 1, "runs that wait for disk leave the cores idle");
    assert!(2 + started <= 10, "the survivable number of runs still limits them");
    let mut driver = Driver::new(settings());
    (0..20).for_each(|_| drop(driver.arrive(0)));
    let actions: Vec<Action> = (0..10).flat_map(|_| driver.tick(1.0, 4.0)).collect();
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Run(_))),
        "a run started while the cores are full"
    );
}

#[test]
fn a_cold_instance_counts_its_speed_and_does_not_take_cold_runs_for_usual_ones() {
    let at_start = |cold_start: bool| {
        let mut driver =
            Driver::new(Settings { cold_start, cold_start_speed: 0.2, warm_up_ms: 5000.0, ..settings() });
        driver.tick(1.0, 6.0);
        driver.controller.level()
    };
    assert_eq!((at_start(false), at_start(true)), (0, 1));
    let once_warm = |cold_start: bool| {
        let mut driver =
            Driver::new(Settings { cold_start, cold_start_speed: 0.2, warm_up_ms: 5000.0, ..settings() });
        for _ in 0..5 {
            let (id, _) = driver.arrive(0);
            driver.send(Event::RunEnded { id, outcome: Outcome::Ok, took_ms: 500.0 });
        }
        driver.now = 6000.0;
        driver.tick(1.0, 6.0);
        driver.controller.level()
    };
    assert_eq!((once_warm(false), once_warm(true)), (1, 0));
}

#[test]
fn fast_failures_raise_the_level_though_the_gauges_are_low_and_it_falls_when_they_end() {
    let mut driver = Driver::new(settings());
    for _ in 0..20 {
        let (id, _) = driver.arrive(0);
        driver.send(Event::RunEnded { id, outcome: Outcome::Error, took_ms: 1.0 });
    }
    driver.tick(0.05, 0.0);
    assert_eq!(driver.controller.level(), 1);
    (0..100).for_each(|_| drop(driver.tick(0.05, 0.0)));
    assert_eq!(driver.controller.level(), 0);
}

#[test]
fn runs_without_progress_raise_the_level_though_the_cores_are_still() {
    let mut driver = Driver::new(settings());
    (0..8).for_each(|_| drop(driver.arrive(2)));
    (0..5).for_each(|_| drop(driver.tick(0.0, 2.0)));
    assert_eq!(driver.controller.level(), 0);
    (0..20).for_each(|_| drop(driver.tick(0.0, 2.0)));
    assert!(driver.controller.level() > 0);
}

/// The threshold takes seconds to fall after the queue has drained; at level 0 it rejects no first attempt
/// meanwhile.
#[test]
fn the_threshold_rests_at_level_zero_while_it_falls() {
    let mut driver = Driver::new(settings());
    (0..20).for_each(|_| drop(driver.tick(1.0, 60.0)));
    let running: Vec<u64> = (0..8).map(|_| driver.arrive(0).0).collect();
    let low = |driver: &mut Driver| {
        let arrival = Arrival { priority: 0.0, ..driver.arrival(0) };
        let id = arrival.id;
        (id, driver.send(Event::Arrival(arrival)))
    };
    let (id, actions) = low(&mut driver);
    assert!(rejected(&actions, id), "above level 0");
    while driver.controller.level() > 0 {
        driver.tick(1.0, 2.0);
    }
    assert!(driver.controller.priority_threshold() > 0.0, "the threshold has fallen already");
    let (id, actions) = low(&mut driver);
    assert_eq!(answers(&actions, id), 0, "queued");
    // A short time at level 0 does not admit the retries of a storm.
    let retry = Arrival { priority: 0.0, is_retry: true, ..driver.arrival(0) };
    let retry_id = retry.id;
    assert!(rejected(&driver.send(Event::Arrival(retry)), retry_id), "a marked retry");
    assert!(running.iter().any(|of| runs(&driver.end(*of, Outcome::Ok), id)));
}

/// The averages behind the level depend on time, not on the number of events.
#[test]
fn old_reads_and_fast_failures_count_alike_at_a_low_and_at_a_high_rate() {
    for gap in [1, 4, 8] {
        let mut driver = Driver::new(settings());
        let mut levels = (0, 0);
        for at in 0..80 {
            if at % gap == 0 {
                let (id, _) = driver.arrive(0);
                driver.send(Event::RunEnded { id, outcome: Outcome::Error, took_ms: 1.0 });
            }
            driver.tick(0.1, 0.0);
            levels.0 = levels.0.max(driver.controller.level());
        }
        (0..100).for_each(|_| drop(driver.tick(0.1, 0.0)));
        assert!(levels.0 > 0 && driver.controller.level() == 0, "fast failures, one in {gap} timers");
        let mut driver = Driver::new(settings());
        for at in 0..80 {
            if at % gap == 0 {
                let arrival = Arrival { age_ms: 1500.0, ..driver.arrival(0) };
                let id = arrival.id;
                driver.send(Event::Arrival(arrival));
                driver.end(id, Outcome::Ok);
            }
            driver.tick(1.0, 3.0);
            levels.1 = levels.1.max(driver.controller.level());
        }
        assert!(levels.1 > 0, "old reads, one in {gap} timers");
    }
}
