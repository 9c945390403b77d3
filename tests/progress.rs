//! Work that hangs, here or below: each test fails when the guard it names is taken out.
mod common;
use common::*;
use dunlinspread::*;

fn healths(actions: &[Action]) -> Vec<bool> {
    actions.iter().filter_map(|a| if let Action::SetHealth(good) = a { Some(*good) } else { None }).collect()
}

/// An instance that served for ten seconds, and a run that goes on.
fn busy_instance() -> (Driver, u64) {
    let mut d = Driver::new(Settings { retry_after: true, max_retry_after_ms: 800.0, ..settings() });
    let (running, _) = d.arrive(2);
    for _ in 0..100 {
        d.tick(1.0, 2.0);
        d.now += 50.0;
        d.progress(running);
    }
    let (next, _) = d.arrive(1);
    d.end(running, Outcome::Ok);
    (d, next)
}

/// Found on days of hangs: a hung server refused with the wish not to try elsewhere, beside servers with room.
#[test]
fn without_progress_what_is_held_or_arrives_is_told_at_once_and_may_go_elsewhere() {
    let (mut d, running) = busy_instance();
    d.arrive(2);
    let (held, out) = d.arrive(0);
    assert!(!runs(&out, held));
    let until = d.now + 1500.0;
    let out = d.run_until(until);
    let told = Action::Reject { id: held, retry_after_ms: 800.0, do_not_retry: false };
    assert!(out.contains(&told), "{out:?}");
    assert_eq!(healths(&out), vec![false]);
    let (id, out) = d.arrive(0);
    assert!(out.contains(&Action::Reject { id, retry_after_ms: 800.0, do_not_retry: false }));
    let mut out = d.end(running, Outcome::Ok);
    out.extend(d.tick(1.0, 2.0));
    assert_eq!(healths(&out), vec![true], "the first progress ends it");
    let (id, out) = d.arrive(0);
    assert!(runs(&out, id));
}

#[test]
fn a_frozen_process_an_idle_one_and_plain_overload_are_not_hung() {
    let (mut d, running) = busy_instance();
    d.now += 1500.0;
    assert!(healths(&d.tick(1.0, 2.0)).is_empty(), "frozen: the timer came late");
    d.end(running, Outcome::Ok);
    let until = d.now + 5000.0;
    assert!(healths(&d.run_until(until)).is_empty(), "idle");
    let (first, out) = d.arrive(2);
    assert!(runs(&out, first) && healths(&d.tick(1.0, 2.0)).is_empty(), "a run that has just begun");
    let mut out = Vec::new();
    for _ in 0..100 {
        d.arrive(0);
        d.progress(first);
        out.extend(d.tick(1.0, 60.0));
    }
    assert!(healths(&out).is_empty(), "overload");
}

#[test]
fn a_call_that_a_tier_refused_is_made_again_in_time_and_one_to_a_shared_dependency_is_left_out() {
    for (share, again) in [(None, true), (Some(5.0), false)] {
        let mut set = Settings { has_upstream: true, upstream_call_share: share, ..settings() };
        set.classes[0].degraded_weight = 0.5;
        let mut d = Driver::new(set);
        let (id, _) = d.arrive(0);
        d.send(Event::UpstreamCallNeeded(id));
        let mut out = d.send(Event::UpstreamCallEnded { id, outcome: Outcome::Rejected, took_ms: 5.0 });
        assert_eq!(out.contains(&Action::SkipUpstreamCall(id)), !again, "{share:?}");
        out.extend(d.run_until(500.0));
        assert_eq!(out.iter().any(|a| matches!(a, Action::CallUpstream { .. })), again, "{share:?}");
    }
}

/// Found on an incident: a tenth of the machines failed all they ran in milliseconds, kept good health and refused with
/// the wish not to try elsewhere.
#[test]
fn where_runs_fail_fast_arrivals_may_go_elsewhere_and_health_is_bad_until_it_is_over() {
    let (mut d, running) = busy_instance();
    d.end(running, Outcome::Ok);
    let (mut out, mut tried, mut elsewhere) = (Vec::new(), 0, 0);
    for _ in 0..80 {
        let a = Arrival { priority: 0.99, ..d.arrival(0) };
        let id = a.id;
        let told = d.send(Event::Arrival(a));
        elsewhere +=
            usize::from(told.contains(&Action::Reject { id, retry_after_ms: 800.0, do_not_retry: false }));
        if runs(&told, id) {
            tried += 1;
            d.now += 5.0;
            d.end(id, Outcome::Error);
        }
        out.extend(d.tick(0.1, 0.0));
    }
    assert_eq!(healths(&out), vec![false], "no flapping while it lasts");
    assert!(elsewhere > 60 && (3..=20).contains(&tried), "{elsewhere} told, {tried} tried in four seconds");
    let mut out = Vec::new();
    for _ in 0..80 {
        let (id, told) = d.arrive(0);
        if runs(&told, id) {
            d.end(id, Outcome::Ok);
        }
        out.extend(d.tick(0.1, 0.0));
    }
    assert_eq!(healths(&out), vec![true], "it finds out by itself");
}

/// On the sockets a pause of the machine leaves timers in time but brings neither notices nor gauges: health went bad and
/// all that was held was turned away, for a moment in which nothing could have ended.
#[test]
fn a_time_without_gauges_is_no_stall() {
    let mut d = Driver::new(settings());
    let (id, _) = d.arrive(0);
    d.progress(id);
    d.tick(1.0, 2.0);
    for _ in 0..40 {
        d.now += 50.0;
        let out = d.send(Event::Timer { token: 1, gauges: Gauges::default() });
        assert!(!out.contains(&Action::SetHealth(false)));
    }
    let mut bad = false;
    (0..40).for_each(|_| bad |= d.tick(1.0, 2.0).contains(&Action::SetHealth(false)));
    assert!(bad, "with gauges it is one");
}
