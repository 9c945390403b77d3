//! Runs that stall, in this instance or in an upstream service. Each test fails if the guard that it names
//! is removed.
mod common;
use common::{Driver, runs, settings};
use dunlinspread::{Action, Arrival, Event, Gauges, Outcome, Settings};

fn healths(actions: &[Action]) -> Vec<bool> {
    actions
        .iter()
        .filter_map(|action| if let Action::SetHealth(good) = action { Some(*good) } else { None })
        .collect()
}

/// Returns an instance that has served for ten seconds, and the id of a run in progress.
fn busy_instance() -> (Driver, u64) {
    let mut driver = Driver::new(Settings { retry_after: true, max_retry_after_ms: 800.0, ..settings() });
    let (running, _) = driver.arrive(2);
    for _ in 0..100 {
        driver.tick(1.0, 2.0);
        driver.now += 50.0;
        driver.progress(running);
    }
    let (next, _) = driver.arrive(1);
    driver.end(running, Outcome::Ok);
    (driver, next)
}

/// A stalled instance rejects requests with permission to retry at another instance.
#[test]
fn without_progress_what_is_queued_or_arrives_is_rejected_at_once_and_may_go_elsewhere() {
    let (mut driver, running) = busy_instance();
    driver.arrive(2);
    let (queued, actions) = driver.arrive(0);
    assert!(!runs(&actions, queued));
    let until = driver.now + 1500.0;
    let actions = driver.run_until(until);
    let expected = Action::Reject { id: queued, retry_after_ms: 800.0, do_not_retry: false };
    assert!(actions.contains(&expected), "{actions:?}");
    assert_eq!(healths(&actions), vec![false]);
    let (id, actions) = driver.arrive(0);
    assert!(actions.contains(&Action::Reject { id, retry_after_ms: 800.0, do_not_retry: false }));
    let mut actions = driver.end(running, Outcome::Ok);
    actions.extend(driver.tick(1.0, 2.0));
    assert_eq!(healths(&actions), vec![true], "the first progress ends the stall");
    let (id, actions) = driver.arrive(0);
    assert!(runs(&actions, id));
}

#[test]
fn a_suspended_process_an_idle_one_and_plain_overload_are_not_stalled() {
    let (mut driver, running) = busy_instance();
    driver.now += 1500.0;
    assert!(healths(&driver.tick(1.0, 2.0)).is_empty(), "suspended: the timer fired late");
    driver.end(running, Outcome::Ok);
    let until = driver.now + 5000.0;
    assert!(healths(&driver.run_until(until)).is_empty(), "idle");
    let (first, actions) = driver.arrive(2);
    assert!(runs(&actions, first) && healths(&driver.tick(1.0, 2.0)).is_empty(), "a run that has just begun");
    let mut actions = Vec::new();
    for _ in 0..100 {
        driver.arrive(0);
        driver.progress(first);
        actions.extend(driver.tick(1.0, 60.0));
    }
    assert!(healths(&actions).is_empty(), "overload");
}

#[test]
fn a_call_that_a_tier_rejected_is_retried_in_time_and_one_to_a_shared_upstream_is_skipped() {
    for (share, retried) in [(None, true), (Some(5.0), false)] {
        let mut settings = Settings { has_upstream: true, upstream_call_share: share, ..settings() };
        settings.classes[0].degraded_weight = 0.5;
        let mut driver = Driver::new(settings);
        let (id, _) = driver.arrive(0);
        driver.send(Event::UpstreamCallNeeded(id));
        let mut actions =
            driver.send(Event::UpstreamCallEnded { id, outcome: Outcome::Rejected, took_ms: 5.0 });
        assert_eq!(actions.contains(&Action::SkipUpstreamCall(id)), !retried, "{share:?}");
        actions.extend(driver.run_until(500.0));
        assert_eq!(
            actions.iter().any(|action| matches!(action, Action::CallUpstream { .. })),
            retried,
            "{share:?}"
        );
    }
}

/// An instance whose runs fail fast lets clients retry at another instance and reports bad health.
#[test]
fn where_runs_fail_fast_arrivals_may_go_elsewhere_and_health_is_bad_until_it_is_over() {
    let (mut driver, running) = busy_instance();
    driver.end(running, Outcome::Ok);
    let (mut actions, mut tried, mut elsewhere) = (Vec::new(), 0, 0);
    for _ in 0..80 {
        let arrival = Arrival { priority: 0.99, ..driver.arrival(0) };
        let id = arrival.id;
        let answer = driver.send(Event::Arrival(arrival));
        elsewhere +=
            usize::from(answer.contains(&Action::Reject { id, retry_after_ms: 800.0, do_not_retry: false }));
        if runs(&answer, id) {
            tried += 1;
            driver.now += 5.0;
            driver.end(id, Outcome::Error);
        }
        actions.extend(driver.tick(0.1, 0.0));
    }
    assert_eq!(healths(&actions), vec![false], "health flaps while runs fail");
    assert!(
        elsewhere > 60 && (3..=20).contains(&tried),
        "{elsewhere} rejected with a retry, {tried} run in four seconds"
    );
    let mut actions = Vec::new();
    for _ in 0..80 {
        let (id, answer) = driver.arrive(0);
        if runs(&answer, id) {
            driver.end(id, Outcome::Ok);
        }
        actions.extend(driver.tick(0.1, 0.0));
    }
    assert_eq!(healths(&actions), vec![true], "the instance detects the recovery without outside help");
}

/// Guards against counting runs that the worker pool does not know as failed ones: among few runs, a few of
/// them would already be a large share.
#[test]
fn runs_that_are_lost_say_nothing_about_the_health() {
    for (outcome, expected) in [(Outcome::Lost, vec![]), (Outcome::Error, vec![false])] {
        let mut driver = Driver::new(settings());
        for _ in 0..2 {
            let (id, actions) = driver.arrive(1);
            assert!(runs(&actions, id));
            driver.end(id, outcome);
        }
        assert_eq!(healths(&driver.tick(0.1, 0.0)), expected, "{outcome:?}");
    }
}

/// Guards against mistaking the lag of this process for a stall of the runs: what they reported after the
/// gauges were read is still unread when the gauges are processed.
#[test]
fn what_came_after_the_gauges_were_requested_is_no_stall() {
    const GAP_MS: f64 = 1.0;
    const GAPS: usize = 2000;
    const RUN_MS: f64 = 5.0;
    /// Less than the lag at which the controller assumes that the process was suspended.
    const LAG_MS: f64 = 45.0;
    let mut driver = Driver::new(settings());
    let (running, _) = driver.arrive(0);
    for _ in 0..GAPS {
        driver.now += GAP_MS;
        let (ended, _) = driver.arrive(0);
        driver.send(Event::RunEnded { id: ended, outcome: Outcome::Ok, took_ms: RUN_MS });
        driver.progress(running);
    }
    driver.tick(1.0, 2.0);
    driver.progress(running);
    driver.send(Event::GaugesRequested);
    driver.now += LAG_MS;
    let gauges = Gauges { busy: Some(1.0), run_queue: Some(2.0), ..Gauges::default() };
    let actions = driver.send(Event::Timer { token: 1, gauges });
    assert!(healths(&actions).is_empty(), "the reading is {LAG_MS} ms old: {actions:?}");
    driver.now += LAG_MS;
    driver.send(Event::GaugesRequested);
    assert_eq!(
        healths(&driver.send(Event::Timer { token: 1, gauges })),
        vec![false],
        "no progress until the reading"
    );
}

/// Guards against mistaking a lag of this process between the choice of a run and the writing of its command
/// for a stall: the worker pool can't have worked on a run whose command was not written.
#[test]
fn what_waited_for_its_command_to_be_written_is_no_stall() {
    const RUN_MS: f64 = 5.0;
    const RUNS: usize = 2000;
    /// Less than the lag at which the controller assumes that the process was suspended.
    const LAG_MS: f64 = 45.0;
    for (written_late, expected) in [(true, vec![]), (false, vec![false])] {
        let mut driver = Driver::new(settings());
        for _ in 0..RUNS {
            let (id, _) = driver.arrive(0);
            driver.now += 1.0;
            driver.send(Event::RunEnded { id, outcome: Outcome::Ok, took_ms: RUN_MS });
        }
        driver.tick(1.0, 2.0);
        driver.arrive(0);
        driver.now += LAG_MS;
        driver.send(Event::GaugesRequested);
        if written_late {
            driver.send(Event::CommandsDelayed { waited_ms: LAG_MS });
        }
        let gauges = Gauges { busy: Some(0.0), run_queue: Some(0.0), ..Gauges::default() };
        let actions = driver.send(Event::Timer { token: 1, gauges });
        assert_eq!(healths(&actions), expected, "written late: {written_late}");
    }
}

/// Guards against taking a run whose command was lost with the link to the worker pool for a stall: the server
/// would report itself as unhealthy until the request is due.
#[test]
fn a_run_that_may_wait_for_a_lost_command_is_no_stall_and_is_answered_when_due() {
    for (in_doubt, expected) in [(true, vec![]), (false, vec![false])] {
        let (mut driver, running) = busy_instance();
        if in_doubt {
            driver.send(Event::RunInDoubt(running));
        }
        let until = driver.now + 1500.0;
        assert_eq!(healths(&driver.run_until(until)), expected, "in doubt: {in_doubt}");
        let (next, actions) = driver.arrive(2);
        assert_eq!(runs(&actions, next), in_doubt, "in doubt: {in_doubt}: {actions:?}");
        let until = driver.now + 100_000.0;
        let actions = driver.run_until(until);
        let is_answer = |action: &Action| match action {
            Action::Reject { id, .. } | Action::Fail(id) => *id == running,
            _ => false,
        };
        assert_eq!(actions.iter().filter(|action| is_answer(action)).count(), 1, "in doubt: {in_doubt}");
    }
}

/// On a suspended machine, timers fire in time, but neither events nor gauges arrive; that is no stall.
#[test]
fn a_time_without_gauges_is_no_stall() {
    let mut driver = Driver::new(settings());
    let (id, _) = driver.arrive(0);
    driver.progress(id);
    driver.tick(1.0, 2.0);
    for _ in 0..40 {
        driver.now += 50.0;
        let actions = driver.send(Event::Timer { token: 1, gauges: Gauges::default() });
        assert!(!actions.contains(&Action::SetHealth(false)));
    }
    let mut bad = false;
    (0..40).for_each(|_| bad |= driver.tick(1.0, 2.0).contains(&Action::SetHealth(false)));
    assert!(bad, "with gauges, the lack of progress is a stall");
}
