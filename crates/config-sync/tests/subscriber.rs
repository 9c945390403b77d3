//! The updates that a subscriber puts in force, holds back, reports and stores.

mod client_support;

use client_support::subscribed::{Subscribed, TestJudge, settings};
use client_support::{History, allowance, at, delete};
use dunlinspread_config_sync::follower::FollowerEvent;
use dunlinspread_config_sync::resource::Position;
use dunlinspread_config_sync::subscriber::{SubscriberEvent, SubscriberSettings};

fn history() -> History {
    let mut history = History::new(1);
    history.push(vec![allowance("a", 1), allowance("b", 2), allowance("c", 3)]);
    history
}

/// Publishes a transaction and delivers it to the subscriber.
fn push(subscribed: &mut Subscribed, history: &mut History, changes: &[(&str, u64)]) {
    let known = history.position;
    history.push(changes.iter().map(|(tenant, value)| allowance(tenant, *value)).collect());
    subscribed.receive(history.since(known));
}

#[test]
fn what_is_accepted_comes_in_force_in_one_step() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    assert_eq!(subscribed.updates.len(), 1);
    assert_eq!((subscribed.tenant("a"), subscribed.tenant("c")), (1, 3));
    push(&mut subscribed, &mut history, &[("a", 10), ("d", 40)]);
    assert_eq!(subscribed.updates.len(), 2);
    assert_eq!((subscribed.tenant("a"), subscribed.tenant("d")), (10, 40));
    assert_eq!(subscribed.in_force_at(), history.position);
}

#[test]
fn several_transactions_of_a_message_come_in_force_as_one_update() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    let known = history.position;
    history.push(vec![allowance("a", 10)]);
    history.push(vec![allowance("a", 20), delete("b")]);
    history.push(vec![allowance("b", 30)]);
    subscribed.receive(history.since(known));
    let update = subscribed.updates.last().expect("an update");
    assert_eq!(update.changes, [allowance("a", 20), allowance("b", 30)]);
    assert_eq!(update.position, history.position);
    assert_eq!(update.published_unix_ms, 1_000 + history.position.revision);
}

#[test]
fn a_refused_transaction_stays_out_whole_while_later_ones_come_in_force() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    push(&mut subscribed, &mut history, &[("a", 10), ("b", 113)]);
    assert_eq!(
        (subscribed.tenant("a"), subscribed.tenant("b")),
        (1, 2),
        "no change of a refused transaction is in force"
    );
    push(&mut subscribed, &mut history, &[("c", 30)]);
    assert_eq!((subscribed.tenant("a"), subscribed.tenant("c")), (1, 30));
    assert_eq!(subscribed.subscriber.held_back(), 2);
    assert_eq!(subscribed.in_force_at(), history.position, "the position advances");
    assert_eq!(subscribed.subscriber.follower().table().digest(), history.table.digest());
}

#[test]
fn a_later_transaction_judges_its_keys_anew() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    push(&mut subscribed, &mut history, &[("a", 10), ("b", 113)]);
    push(&mut subscribed, &mut history, &[("b", 20)]);
    assert_eq!((subscribed.tenant("a"), subscribed.tenant("b")), (1, 20));
    assert_eq!(subscribed.subscriber.held_back(), 1, "`a` still has its old value");
    push(&mut subscribed, &mut history, &[("a", 213)]);
    assert_eq!(subscribed.tenant("a"), 1, "`a` keeps the value in force");
    push(&mut subscribed, &mut history, &[("a", 11)]);
    assert_eq!(subscribed.tenant("a"), 11);
    assert_eq!(subscribed.subscriber.held_back(), 0);
    assert!(subscribed.settings.digest() == history.table.digest());
}

#[test]
fn a_refused_value_for_a_new_key_leaves_it_out_and_its_deletion_ends_that() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    push(&mut subscribed, &mut history, &[("new", 113)]);
    assert_eq!(subscribed.tenant("new"), 0);
    assert_eq!(subscribed.subscriber.held_back(), 1);
    let known = history.position;
    history.push(vec![delete("new")]);
    subscribed.receive(history.since(known));
    assert_eq!(subscribed.subscriber.held_back(), 0);
    assert_eq!(subscribed.settings.digest(), history.table.digest());
}

#[test]
fn a_refusal_is_reported_once_with_its_reason() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    push(&mut subscribed, &mut history, &[("b", 113)]);
    let refused_at = history.position;
    for _ in 0..20 {
        subscribed.advance_clock(100);
        push(&mut subscribed, &mut history, &[("c", 30)]);
    }
    subscribed.link(FollowerEvent::Disconnected);
    subscribed.connect();
    subscribed.advance_clock(500);
    assert_eq!(subscribed.refusals.len(), 1);
    let refusal = &subscribed.refusals[0];
    assert_eq!((&*refusal.member, refusal.position), ("server-1", refused_at));
    assert_eq!(&*refusal.reason, "tenant `b`: 113");
    assert_eq!(subscribed.last_report().refusing, 1);
}

#[test]
fn past_the_bound_of_held_back_keys_it_stops_and_says_so_until_all_is_accepted() {
    let settings = SubscriberSettings { max_held_back: 2, ..settings() };
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings);
    push(&mut subscribed, &mut history, &[("a", 113), ("b", 20)]);
    let last_in_force = history.position;
    push(&mut subscribed, &mut history, &[("c", 213), ("d", 40)]);
    assert!(subscribed.subscriber.is_stopped());
    push(&mut subscribed, &mut history, &[("e", 50)]);
    assert_eq!(subscribed.in_force_at(), last_in_force, "no further change is put in force");
    assert_eq!((subscribed.tenant("c"), subscribed.tenant("e")), (3, 0));
    assert_eq!(subscribed.subscriber.held_back(), 2);
    subscribed.advance_clock(300);
    assert!(
        subscribed.refusals.iter().any(|refusal| refusal.reason.contains("no more changes are accepted"))
    );
    assert_eq!((subscribed.last_report().least, subscribed.last_report().refusing), (last_in_force, 1));
    push(&mut subscribed, &mut history, &[("c", 30)]);
    assert!(!subscribed.subscriber.is_stopped(), "the changes since the stop are accepted now");
    assert_eq!(subscribed.in_force_at(), history.position);
    assert_eq!((subscribed.tenant("c"), subscribed.tenant("d"), subscribed.tenant("e")), (30, 40, 50));
    assert_eq!((subscribed.tenant("a"), subscribed.tenant("b")), (1, 2), "still held back");
    push(&mut subscribed, &mut history, &[("a", 10), ("b", 21)]);
    assert_eq!(subscribed.settings.digest(), history.table.digest());
}

#[test]
fn a_refused_snapshot_leaves_the_old_state_and_is_reported_once() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    let (position, old_settings) = (history.position, subscribed.settings.clone());
    history.push(vec![allowance("a", 113)]);
    history.push(vec![allowance("b", 20)]);
    subscribed.fetch(&history);
    push(&mut subscribed, &mut history, &[("c", 30)]);
    push(&mut subscribed, &mut history, &[("c", 31)]);
    subscribed.advance_clock(300);
    assert!(subscribed.subscriber.is_stopped());
    assert_eq!(subscribed.settings.digest(), old_settings.digest());
    assert_eq!(subscribed.in_force_at(), position);
    assert_eq!(subscribed.refusals.len(), 1, "a repeated reason is not reported again");
    assert_eq!(subscribed.last_report().least, position);
    push(&mut subscribed, &mut history, &[("a", 10)]);
    assert_eq!(subscribed.settings.digest(), history.table.digest());
    assert_eq!(subscribed.in_force_at(), history.position);
}

#[test]
fn progress_tells_what_the_owner_confirmed_and_not_more() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    subscribed.advance_clock(300);
    assert_eq!(subscribed.last_report().least, at(1, 1));
    subscribed.confirms = false;
    push(&mut subscribed, &mut history, &[("a", 10)]);
    push(&mut subscribed, &mut history, &[("a", 20)]);
    subscribed.advance_clock(300);
    assert_eq!(subscribed.last_report().least, at(1, 1), "not confirmed yet");
    subscribed.event(SubscriberEvent::Applied(at(1, 2)));
    subscribed.advance_clock(300);
    assert_eq!(subscribed.last_report().least, at(1, 2));
    subscribed.event(SubscriberEvent::Applied(at(1, 9)));
    subscribed.event(SubscriberEvent::Applied(at(1, 1)));
    subscribed.advance_clock(300);
    assert_eq!(
        subscribed.last_report().least,
        at(1, 2),
        "confirmations ahead of the updates or behind earlier ones are ignored"
    );
    subscribed.confirm();
    subscribed.advance_clock(300);
    assert_eq!(subscribed.last_report().least, at(1, 3));
}

#[test]
fn progress_is_told_at_most_once_in_its_interval_and_only_when_changed() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    subscribed.advance_clock(1_000);
    subscribed.reports.clear();
    let start = subscribed.now;
    while subscribed.now < start + 1_000 {
        push(&mut subscribed, &mut history, &[("a", 10)]);
        subscribed.advance_clock(10);
    }
    assert!((4..=5).contains(&subscribed.reports.len()), "{} reports", subscribed.reports.len());
    subscribed.advance_clock(250);
    subscribed.reports.clear();
    for _ in 0..5 {
        subscribed.receive(history.heartbeat());
        subscribed.advance_clock(500);
    }
    assert!(subscribed.reports.is_empty(), "nothing changed");
    subscribed.link(FollowerEvent::Disconnected);
    subscribed.connect();
    assert_eq!(
        subscribed.last_report().least,
        history.position,
        "progress is reported at once in a new session"
    );
}

#[test]
fn a_report_that_waits_for_its_interval_wakes_the_subscriber() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    subscribed.advance_clock(300);
    push(&mut subscribed, &mut history, &[("a", 10)]);
    push(&mut subscribed, &mut history, &[("a", 20)]);
    let wake = subscribed.subscriber.deadline();
    assert!(wake <= subscribed.now + 250, "woken in {} ms", wake - subscribed.now);
    subscribed.now = wake;
    subscribed.link(FollowerEvent::Tick);
    assert_eq!(subscribed.last_report().least, history.position);
    assert!(subscribed.subscriber.deadline() > wake + 500, "no further report waits");
}

#[test]
fn a_restart_puts_the_kept_state_in_force_at_once_and_asks_for_the_difference() {
    let mut history = history();
    let mut before = Subscribed::at_head_of(&history, settings());
    push(&mut before, &mut history, &[("a", 10), ("b", 113)]);
    push(&mut before, &mut history, &[("c", 30)]);
    let mut after = Subscribed::start(settings(), Some(before.disk.clone()));
    assert_eq!(after.updates.len(), 1, "the state is in force before any connection");
    assert_eq!(after.settings.digest(), before.settings.digest());
    assert_eq!((after.tenant("a"), after.tenant("b"), after.tenant("c")), (1, 2, 30));
    assert_eq!(after.subscriber.held_back(), 2);
    assert_eq!(after.subscriber.applied(), history.position);
    after.connect();
    push(&mut after, &mut history, &[("b", 20)]);
    assert_eq!((after.tenant("a"), after.tenant("b")), (1, 20));
    assert_eq!(after.subscriber.follower().table().digest(), history.table.digest());
}

#[test]
fn a_kept_state_that_is_refused_now_is_not_put_in_force() {
    let history = history();
    let before = Subscribed::at_head_of(&history, settings());
    let judge = TestJudge::default();
    judge.refuse_all(true);
    let mut after = Subscribed::start_with(settings(), Some(before.disk), judge.clone());
    assert!(after.updates.is_empty());
    assert!(after.subscriber.is_stopped());
    judge.refuse_all(false);
    let mut history = history;
    after.connect();
    push(&mut after, &mut history, &[("a", 10)]);
    assert_eq!(after.settings.digest(), history.table.digest());
}

#[test]
fn nothing_is_kept_before_it_is_confirmed_and_what_waits_is_bounded() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    let stored_position = subscribed.disk.position;
    subscribed.confirms = false;
    let records = subscribed.records;
    for number in 0..500 {
        push(&mut subscribed, &mut history, &[("a", number), ("b", number + 1)]);
    }
    assert_eq!((subscribed.records, subscribed.disk.position), (records, stored_position));
    subscribed.confirm();
    assert!(subscribed.records - records <= 64, "{} records waited", subscribed.records - records);
    assert_eq!(subscribed.disk.position, history.position);
    let mut in_force = subscribed.disk.mirror.clone();
    in_force.apply(&subscribed.disk.held_back);
    assert_eq!(in_force.digest(), subscribed.settings.digest());
}

#[test]
fn of_several_updates_only_the_confirmed_ones_are_kept() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    subscribed.confirms = false;
    push(&mut subscribed, &mut history, &[("a", 10)]);
    push(&mut subscribed, &mut history, &[("a", 20)]);
    subscribed.event(SubscriberEvent::Applied(at(1, 2)));
    assert_eq!(subscribed.disk.position, at(1, 2));
    subscribed.event(SubscriberEvent::Applied(at(1, 3)));
    assert_eq!(subscribed.disk.position, at(1, 3));
    assert_eq!(subscribed.disk.mirror.digest(), history.table.digest());
}

#[test]
fn a_long_reason_is_cut_between_characters() {
    let mut history = history();
    let mut subscribed = Subscribed::at_head_of(&history, settings());
    let tenant = "\u{e4}".repeat(60) + &"\u{1f426}".repeat(60);
    push(&mut subscribed, &mut history, &[(&tenant, 113)]);
    subscribed.advance_clock(300);
    let reason = &subscribed.refusals[0].reason;
    assert!((250..=256).contains(&reason.len()), "{} bytes", reason.len());
}

#[test]
fn without_anything_kept_nothing_is_in_force() {
    let subscribed = Subscribed::start(settings(), None);
    assert!(subscribed.updates.is_empty());
    assert_eq!(subscribed.subscriber.applied(), Position::default());
}
