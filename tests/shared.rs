//! Reads of one subject share an answer that is fresh: each test fails when the guard it names is taken out.
mod common;
use common::*;
use dunlinspread::*;

fn sharing() -> Settings {
    Settings { shared_result_ttl_ms: 1000.0, preemption: Preemption::Abort, ..settings() }
}

fn read(d: &mut Driver, duplicate_of: Option<u64>) -> (u64, Vec<Action>) {
    let a = Arrival { shareable: true, duplicate_of, ..d.arrival(0) };
    (a.id, d.send(Event::Arrival(a)))
}

#[test]
fn a_read_is_kept_and_a_further_one_takes_its_answer_under_the_cut_too() {
    let mut d = Driver::new(sharing());
    let (first, out) = read(&mut d, None);
    assert!(
        out.iter().any(|a| matches!(a, Action::ReserveKey { id, .. } if *id == first)) && runs(&out, first)
    );
    assert_eq!(read(&mut d, Some(first)).1, vec![Action::ReuseResult(first + 1)]);
    (0..20).for_each(|_| drop(d.tick(1.0, 60.0)));
    d.end(first, Outcome::Ok);
    let a = Arrival { shareable: true, duplicate_of: Some(first), priority: 0.0, ..d.arrival(0) };
    let id = a.id;
    assert_eq!(d.send(Event::Arrival(a)), vec![Action::ReuseResult(id)]);
}

#[test]
fn nothing_is_kept_where_no_answer_may_be_shared_or_no_subject_is_named() {
    let keeps = |out: Vec<Action>| out.iter().any(|a| matches!(a, Action::ReserveKey { .. }));
    assert!(!keeps(read(&mut Driver::new(settings()), None).1));
    let mut d = Driver::new(sharing());
    assert!(!keeps(d.arrive(0).1));
    let mut d = Driver::new(settings());
    let (first, _) = read(&mut d, None);
    let (second, out) = read(&mut d, Some(first));
    assert!(runs(&out, second), "a prior that can't be shared is none: {out:?}");
}

#[test]
fn a_run_whose_caller_has_gone_goes_on_while_others_wait_for_its_answer() {
    let mut d = Driver::new(sharing());
    let (first, _) = read(&mut d, None);
    let (second, _) = read(&mut d, Some(first));
    assert!(!d.send(Event::ClientGone(first)).contains(&Action::Preempt(first)));
    assert_eq!(d.end(first, Outcome::Ok).iter().filter(|a| matches!(a, Action::Run(_))).count(), 0);
    d.end(second, Outcome::Ok);
    let (alone, _) = read(&mut d, None);
    assert!(d.send(Event::ClientGone(alone)).contains(&Action::Preempt(alone)));
}

#[test]
fn a_read_that_is_being_stopped_or_failed_is_not_shared() {
    let mut d = Driver::new(sharing());
    let (first, _) = read(&mut d, None);
    d.send(Event::ClientGone(first));
    let (second, out) = read(&mut d, Some(first));
    assert!(runs(&out, second), "{out:?}");
    assert!(d.end(second, Outcome::Error).contains(&Action::ReleaseKey(second)));
    let (third, out) = read(&mut d, Some(second));
    assert!(runs(&out, third), "{out:?}");
}

#[test]
fn the_entry_of_a_read_is_given_back_once_its_answer_is_old() {
    let mut d = Driver::new(sharing());
    let (first, _) = read(&mut d, None);
    d.end(first, Outcome::Ok);
    let until = d.now + 900.0;
    assert!(!d.run_until(until).contains(&Action::ReleaseKey(first)));
    let until = d.now + 200.0;
    assert!(d.run_until(until).contains(&Action::ReleaseKey(first)));
}

#[test]
fn the_read_that_most_wait_for_runs_first_and_they_take_its_answer() {
    let mut d = Driver::new(sharing());
    let blockers: Vec<u64> = (0..2).map(|_| d.arrive(2).0).collect();
    let (lone, _) = read(&mut d, None);
    let (hot, _) = read(&mut d, None);
    let (waiting, out) = read(&mut d, Some(hot));
    assert!(out.is_empty(), "held beside the first: {out:?}");
    let out = d.end(blockers[0], Outcome::Ok);
    assert!(runs(&out, hot) && !runs(&out, lone) && out.contains(&Action::ReuseResult(waiting)), "{out:?}");
}

#[test]
fn an_entry_without_room_leaves_the_read_to_run_for_itself() {
    let mut d = Driver::new(Settings { memory_kb: 100.0, key_memory_kb: 50.0, ..sharing() });
    let (id, out) = read(&mut d, None);
    assert_eq!(out, vec![Action::Run(id)]);
}

/// An heir that came after the grace can't be run: it is told at once, not when its time is over.
#[test]
fn an_heir_after_the_drain_grace_is_answered_at_once() {
    for class in [0, 1] {
        let mut set = sharing();
        set.classes.iter_mut().for_each(|c| c.latency_objective_ms = 2800.0);
        let mut d = Driver::new(set);
        (0..2).for_each(|_| drop(d.arrive(2)));
        let first = Arrival { shareable: true, deadline: Some(1800.0), ..d.arrival(class) };
        let first_id = first.id;
        d.send(Event::Arrival(first));
        d.send(Event::Drain { stop_at: 2900.0 });
        d.run_until(1500.0);
        let a = Arrival { shareable: true, duplicate_of: Some(first_id), ..d.arrival(class) };
        let late = a.id;
        assert_eq!(answers(&d.send(Event::Arrival(a)), late), 0);
        let out = d.send(Event::ClientGone(first_id));
        assert!(refused(&out, late), "class {class}: {out:?}");
    }
}
