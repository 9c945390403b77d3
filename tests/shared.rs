//! Reads of one subject share a recent result. Each test fails if the guard that it names is removed.
mod common;
use common::{Driver, answers, rejected, runs, settings};
use dunlinspread::{Action, Arrival, Event, Outcome, Preemption, Settings};

fn sharing() -> Settings {
    Settings { shared_result_ttl_ms: 1000.0, preemption: Preemption::Abort, ..settings() }
}

fn read(driver: &mut Driver, duplicate_of: Option<u64>) -> (u64, Vec<Action>) {
    let arrival = Arrival { shareable: true, duplicate_of, ..driver.arrival(0) };
    (arrival.id, driver.send(Event::Arrival(arrival)))
}

#[test]
fn a_read_is_reserved_and_a_further_one_takes_its_result_under_the_threshold_too() {
    let mut driver = Driver::new(sharing());
    let (first, actions) = read(&mut driver, None);
    assert!(
        actions.iter().any(|action| matches!(action, Action::ReserveKey { id, .. } if *id == first))
            && runs(&actions, first)
    );
    assert_eq!(read(&mut driver, Some(first)).1, vec![Action::ReuseResult(first + 1)]);
    (0..20).for_each(|_| drop(driver.tick(1.0, 60.0)));
    driver.end(first, Outcome::Ok);
    let arrival = Arrival { shareable: true, duplicate_of: Some(first), priority: 0.0, ..driver.arrival(0) };
    let id = arrival.id;
    assert_eq!(driver.send(Event::Arrival(arrival)), vec![Action::ReuseResult(id)]);
}

#[test]
fn nothing_is_reserved_where_no_result_may_be_shared_or_no_subject_is_named() {
    let reserves =
        |actions: Vec<Action>| actions.iter().any(|action| matches!(action, Action::ReserveKey { .. }));
    assert!(!reserves(read(&mut Driver::new(settings()), None).1));
    let mut driver = Driver::new(sharing());
    assert!(!reserves(driver.arrive(0).1));
    let mut driver = Driver::new(settings());
    let (first, _) = read(&mut driver, None);
    let (second, actions) = read(&mut driver, Some(first));
    assert!(runs(&actions, second), "an original whose result can't be shared counts as none: {actions:?}");
}

#[test]
fn a_run_whose_client_has_gone_goes_on_while_others_wait_for_its_result() {
    let mut driver = Driver::new(sharing());
    let (first, _) = read(&mut driver, None);
    let (second, _) = read(&mut driver, Some(first));
    assert!(!driver.send(Event::ClientGone(first)).contains(&Action::Preempt(first)));
    assert_eq!(
        driver.end(first, Outcome::Ok).iter().filter(|action| matches!(action, Action::Run(_))).count(),
        0
    );
    driver.end(second, Outcome::Ok);
    let (alone, _) = read(&mut driver, None);
    assert!(driver.send(Event::ClientGone(alone)).contains(&Action::Preempt(alone)));
}

#[test]
fn a_read_that_is_being_stopped_or_failed_is_not_shared() {
    let mut driver = Driver::new(sharing());
    let (first, _) = read(&mut driver, None);
    driver.send(Event::ClientGone(first));
    let (second, actions) = read(&mut driver, Some(first));
    assert!(runs(&actions, second), "{actions:?}");
    assert!(driver.end(second, Outcome::Error).contains(&Action::ReleaseKey(second)));
    let (third, actions) = read(&mut driver, Some(second));
    assert!(runs(&actions, third), "{actions:?}");
}

#[test]
fn the_reservation_of_a_read_is_released_once_its_result_is_old() {
    let mut driver = Driver::new(sharing());
    let (first, _) = read(&mut driver, None);
    driver.end(first, Outcome::Ok);
    let until = driver.now + 900.0;
    assert!(!driver.run_until(until).contains(&Action::ReleaseKey(first)));
    let until = driver.now + 200.0;
    assert!(driver.run_until(until).contains(&Action::ReleaseKey(first)));
}

#[test]
fn the_read_that_most_wait_for_runs_first_and_they_take_its_result() {
    let mut driver = Driver::new(sharing());
    let blockers: Vec<u64> = (0..2).map(|_| driver.arrive(2).0).collect();
    let (single, _) = read(&mut driver, None);
    let (shared, _) = read(&mut driver, None);
    let (waiting, actions) = read(&mut driver, Some(shared));
    assert!(actions.is_empty(), "queued like the first: {actions:?}");
    let actions = driver.end(blockers[0], Outcome::Ok);
    assert!(
        runs(&actions, shared) && !runs(&actions, single) && actions.contains(&Action::ReuseResult(waiting)),
        "{actions:?}"
    );
}

#[test]
fn a_reservation_without_memory_leaves_the_read_to_run_for_itself() {
    let mut driver = Driver::new(Settings { memory_kb: 100.0, key_memory_kb: 50.0, ..sharing() });
    let (id, actions) = read(&mut driver, None);
    assert_eq!(actions, vec![Action::Run(id)]);
}

/// A duplicate that arrived after the drain grace can't run in place of its original: it is rejected at
/// once, not at its deadline.
#[test]
fn an_heir_after_the_drain_grace_is_answered_at_once() {
    for class in [0, 1] {
        let mut settings = sharing();
        settings.classes.iter_mut().for_each(|c| c.latency_objective_ms = 2800.0);
        let mut driver = Driver::new(settings);
        (0..2).for_each(|_| drop(driver.arrive(2)));
        let first = Arrival { shareable: true, deadline: Some(1800.0), ..driver.arrival(class) };
        let first_id = first.id;
        driver.send(Event::Arrival(first));
        driver.send(Event::Drain { stop_at: 2900.0 });
        driver.run_until(1500.0);
        let arrival = Arrival { shareable: true, duplicate_of: Some(first_id), ..driver.arrival(class) };
        let late = arrival.id;
        assert_eq!(answers(&driver.send(Event::Arrival(arrival)), late), 0);
        let actions = driver.send(Event::ClientGone(first_id));
        assert!(rejected(&actions, late), "class {class}: {actions:?}");
    }
}
