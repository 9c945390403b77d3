//! The four rules for runs that call an upstream service. Each test fails if the guard that it names is
//! removed.
mod common;
use common::{Driver, runs, settings};
use dunlinspread::{Action, AdmissionController, Event, Outcome, Settings};

#[test]
fn a_keyed_call_is_retried_only_when_it_never_ran() {
    for (outcome, retried) in [
        (Outcome::Rejected, true),
        (Outcome::Unreachable, true),
        (Outcome::TimedOut, false),
        (Outcome::Error, false),
        (Outcome::ConnectionLost, false),
    ] {
        let mut driver =
            Driver::new(Settings { has_upstream: true, upstream_call_share: Some(5.0), ..settings() });
        let (id, _) = driver.arrive(1);
        driver.send(Event::UpstreamCallNeeded(id));
        let mut actions = driver.send(Event::UpstreamCallEnded { id, outcome, took_ms: 5.0 });
        actions.extend(driver.run_until(1500.0));
        let called = actions.iter().any(|action| matches!(action, Action::CallUpstream { .. }));
        assert_eq!(called, retried, "{outcome:?}");
    }
}

/// A failed call is retried before its request loses weight, and the timeout of a call ends before the
/// latency objective.
#[test]
fn an_idempotent_call_that_broke_off_or_timed_out_is_retried_twice_then_skipped() {
    let mut settings = Settings { has_upstream: true, ..settings() };
    settings.classes[0].degraded_weight = 0.5;
    let mut driver = Driver::new(settings);
    let (id, _) = driver.arrive(0);
    driver.send(Event::UpstreamCallNeeded(id));
    let mut ended = |outcome| driver.send(Event::UpstreamCallEnded { id, outcome, took_ms: 5.0 });
    let first = ended(Outcome::ConnectionLost);
    assert!(
        matches!(first[..], [Action::CallUpstream { timeout_ms: limit_ms, .. }] if limit_ms < 700.0),
        "{first:?}"
    );
    assert!(matches!(ended(Outcome::TimedOut)[..], [Action::CallUpstream { .. }]));
    assert_eq!(ended(Outcome::ConnectionLost), [Action::SkipUpstreamCall(id)]);
}

#[test]
fn calls_in_progress_stay_within_the_share_lingering_ones_included() {
    let mut driver = Driver::new(Settings {
        cores: 8.0,
        has_upstream: true,
        upstream_call_share: Some(3.0),
        ..settings()
    });
    let mut calls = 0;
    for _ in 0..8 {
        let (id, _) = driver.arrive(0);
        let actions = driver.send(Event::UpstreamCallNeeded(id));
        calls += actions.iter().filter(|action| matches!(action, Action::CallUpstream { .. })).count();
        if calls == 1 {
            driver.send(Event::UpstreamCallEnded { id, outcome: Outcome::TimedOut, took_ms: 5.0 });
        }
    }
    assert!(calls >= 2);
    assert!(calls <= 3, "one abandoned call still lingers, two are in progress: {calls}");
}

#[test]
fn a_call_beyond_the_share_is_skipped_where_that_keeps_weight() {
    let mut settings =
        Settings { cores: 8.0, has_upstream: true, upstream_call_share: Some(1.0), ..settings() };
    settings.classes[0].degraded_weight = 0.5;
    let mut driver = Driver::new(settings);
    let mut skipped = 0;
    for _ in 0..8 {
        let (id, _) = driver.arrive(0);
        skipped +=
            usize::from(driver.send(Event::UpstreamCallNeeded(id)).contains(&Action::SkipUpstreamCall(id)));
    }
    assert!(skipped >= 6);
}

/// A call to an upstream service whose answers take a fixed time.
struct SimulatedCall {
    id: u64,
    from: f64,
    /// Time at which the call is answered or times out.
    ends_at: f64,
    /// Time until which the call occupies the upstream service.
    until: f64,
}

/// The upstream calls of a test, which take `duration_ms` each, or time out and linger for 200 ms.
struct SimulatedCalls {
    duration_ms: f64,
    calls: Vec<SimulatedCall>,
}

impl SimulatedCalls {
    /// Starts the calls that the actions request, and ends the runs whose calls are skipped.
    fn carry_out(&mut self, driver: &mut Driver, actions: &[Action]) {
        for action in actions {
            match action {
                Action::CallUpstream { id, timeout_ms } => {
                    let ends_at = driver.now + self.duration_ms.min(*timeout_ms);
                    let until = if self.duration_ms < *timeout_ms { ends_at } else { ends_at + 200.0 };
                    self.calls.push(SimulatedCall { id: *id, from: driver.now, ends_at, until });
                }
                Action::SkipUpstreamCall(id) => drop(driver.end(*id, Outcome::Ok)),
                _ => {}
            }
        }
    }

    /// Ends the calls that are due in the last timer period and their runs, and returns the actions on the
    /// ends of the calls.
    fn end_due(&self, driver: &mut Driver) -> Vec<Action> {
        let period = driver.now - 50.0..driver.now;
        let mut actions = Vec::new();
        for call in self.calls.iter().filter(|call| period.contains(&call.ends_at)) {
            let timed_out = call.until > call.ends_at;
            let outcome = if timed_out { Outcome::TimedOut } else { Outcome::Ok };
            let id = call.id;
            actions.extend(driver.send(Event::UpstreamCallEnded { id, outcome, took_ms: 1.0 }));
            driver.send(Event::RunEnded { id, outcome: Outcome::Ok, took_ms: 300.0 });
        }
        actions
    }

    /// Returns the mean number of calls in progress over the last 5 s.
    fn mean_in_progress(&self, now: f64) -> f64 {
        let span_ms = |call: &SimulatedCall| (call.until.min(now) - call.from.max(now - 5000.0)).max(0.0);
        self.calls.iter().map(span_ms).sum::<f64>() / 5000.0
    }
}

/// With a share below one call, a call may be in progress for that part of the window.
#[test]
fn a_share_under_one_call_holds_over_the_window_whatever_the_upstream_does() {
    let share = 0.45;
    for duration_ms in [15.0, 600.0, f64::INFINITY] {
        let mut settings = Settings {
            has_upstream: true,
            upstream_call_share: Some(share),
            upstream_window_ms: 5000.0,
            ..settings()
        };
        settings.classes[0].degraded_weight = 0.6;
        for class in &mut settings.classes {
            (class.latency_objective_ms, class.client_timeout_ms) = (2000.0, 8000.0);
        }
        let mut driver = Driver::new(settings);
        let mut calls = SimulatedCalls { duration_ms, calls: Vec::new() };
        let mut writes = 0;
        for at in 0..800u32 {
            let mut actions = driver.tick(0.5, 1.0);
            if at % 4 == 0 {
                let class = usize::from(at % 20 == 0);
                let (id, begun) = driver.arrive(class);
                if runs(&begun, id) {
                    actions.extend(driver.send(Event::UpstreamCallNeeded(id)));
                }
                let is_its_call = |action: &Action| matches!(action, Action::CallUpstream { id: other, .. } if *other == id);
                writes += usize::from(class == 1 && actions.iter().any(is_its_call));
            }
            actions.extend(calls.end_due(&mut driver));
            calls.carry_out(&mut driver, &actions);
            let mean = calls.mean_in_progress(driver.now);
            assert!(mean <= share, "{mean} calls in progress over 5 s at {}", driver.now);
        }
        let made = calls.calls.len();
        assert!(made >= 8, "too few calls are made: {made}");
        assert!(writes >= 1, "no call is made that can't be skipped");
    }
}

/// If no share is stated, calls are not limited; it does not mean a share of zero.
#[test]
fn where_no_share_is_stated_calls_are_made_and_skipped_only_for_lack_of_time() {
    let mut settings = Settings { cores: 8.0, has_upstream: true, upstream_call_share: None, ..settings() };
    settings.classes[0].degraded_weight = 0.5;
    let mut driver = Driver::new(settings.clone());
    for class in [0, 1, 0, 1, 0, 1] {
        let (id, _) = driver.arrive(class);
        let actions = driver.send(Event::UpstreamCallNeeded(id));
        assert!(
            actions.iter().any(|action| matches!(action, Action::CallUpstream { id: x, .. } if *x == id)),
            "class {class}: {actions:?}"
        );
    }
    let mut driver = Driver::new(Settings { upstream_call_share: Some(0.0), ..settings });
    let (id, _) = driver.arrive(0);
    assert_eq!(
        driver.send(Event::UpstreamCallNeeded(id)),
        vec![Action::SkipUpstreamCall(id)],
        "a share of zero allows no call"
    );
}

#[test]
fn an_upstream_tier_that_was_slow_is_called_again_once_calls_were_skipped() {
    let mut settings = Settings { cores: 8.0, has_upstream: true, upstream_call_share: None, ..settings() };
    settings.classes[0].degraded_weight = 0.5;
    let mut driver = Driver::new(settings);
    let mut outcomes = Vec::new();
    for _ in 0..60 {
        let (id, _) = driver.arrive(0);
        let called = driver
            .send(Event::UpstreamCallNeeded(id))
            .iter()
            .any(|action| matches!(action, Action::CallUpstream { .. }));
        if called {
            driver.send(Event::UpstreamCallEnded { id, outcome: Outcome::TimedOut, took_ms: 900.0 });
        }
        driver.end(id, Outcome::Ok);
        outcomes.push(called);
    }
    let first_skip = outcomes.iter().position(|c| !c);
    assert!(first_skip.is_some_and(|at| outcomes[at..].contains(&true)), "{outcomes:?}");
}

#[test]
fn runs_at_a_call_count_towards_the_survivable_number() {
    let settings = Settings { cores: 8.0, has_upstream: true, memory_kb: 1e6, ..settings() };
    let survivable_runs = settings.cores * settings.survivable_runs_per_core;
    let mut driver = Driver::new(settings);
    let mut at_call = 0;
    for _ in 0..100 {
        let (id, actions) = driver.arrive(1);
        if runs(&actions, id) {
            driver.send(Event::UpstreamCallNeeded(id));
            at_call += 1;
        }
    }
    assert!(f64::from(at_call) < survivable_runs && at_call > 8, "{at_call} return from calls at once");
}

/// No further run starts while enough runs wait for an upstream call, because it would only wait as well.
#[test]
fn no_more_runs_start_while_enough_wait_for_a_call() {
    let settings =
        Settings { has_upstream: true, upstream_call_share: Some(0.4), memory_kb: 1e6, ..settings() };
    let mut driver = Driver::new(settings);
    let mut started = 0;
    for _ in 0..20 {
        let (id, actions) = driver.arrive(0);
        if runs(&actions, id) {
            started += 1;
            driver.send(Event::UpstreamCallNeeded(id));
        }
    }
    assert!((2..=5).contains(&started), "{started} started, one call made");
    driver.controller = {
        let mut settings = Settings {
            has_upstream: true,
            upstream_call_share: Some(0.4),
            memory_kb: 1e6,
            ..common::settings()
        };
        settings.classes[0].makes_upstream_calls = false;
        AdmissionController::new(driver.now, settings)
    };
    let (blocked, _) = driver.arrive(1);
    driver.send(Event::UpstreamCallNeeded(blocked));
    let (other, _) = driver.arrive(1);
    driver.send(Event::UpstreamCallNeeded(other));
    let (third, _) = driver.arrive(1);
    driver.send(Event::UpstreamCallNeeded(third));
    let (write, actions) = driver.arrive(1);
    assert!(!runs(&actions, write));
    let (read, actions) = driver.arrive(0);
    assert!(runs(&actions, read), "a class without upstream calls does not start");
}
