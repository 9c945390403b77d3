//! A subscriber that resumes from a state that its owner already has in force.

mod client_support;

use client_support::subscribed::{Subscribed, TestJudge, settings};
use client_support::{History, allowance, tenant_key, value};
use dunlinspread_config_sync::follower::{FollowerEvent, LinkAction};
use dunlinspread_config_sync::message::ToServer;
use dunlinspread_config_sync::resource::Position;
use dunlinspread_config_sync::subscriber::{PersistedState, Subscriber, SubscriberAction, SubscriberEvent};

/// Returns the stored state of a subscriber that refused the change of `b`.
fn stored_with_refusal(history: &mut History) -> PersistedState {
    history.push(vec![allowance("a", 1), allowance("b", 2)]);
    let mut subscribed = Subscribed::at_head_of(history, settings());
    let known = history.position;
    history.push(vec![allowance("b", 113)]);
    subscribed.receive(history.since(known));
    subscribed.disk.clone()
}

fn on_link(subscriber: &mut Subscriber, event: FollowerEvent) -> Vec<SubscriberAction> {
    let mut out = Vec::new();
    subscriber.on_event(0, SubscriberEvent::Link(event), &mut out);
    out
}

#[test]
fn nothing_is_judged_or_handed_out_and_the_position_is_confirmed() {
    let stored = stored_with_refusal(&mut History::new(1));
    let judge = TestJudge::default();
    judge.refuse_all(true);
    let mut subscriber = Subscriber::resume(settings(), Box::new(judge), &stored, 0);
    assert_eq!(subscriber.applied(), stored.position);
    assert_ne!(stored.position, Position::default());
    let actions = on_link(&mut subscriber, FollowerEvent::Tick);
    assert!(matches!(actions[..], [SubscriberAction::Link(LinkAction::Connect(_))]), "{actions:?}");
    assert!(!subscriber.is_stopped());
}

#[test]
fn what_was_held_back_stays_held_back() {
    let stored = stored_with_refusal(&mut History::new(1));
    let subscriber = Subscriber::resume(settings(), Box::new(TestJudge::default()), &stored, 0);
    assert_eq!(subscriber.held_back(), 1);
    assert_eq!(value(subscriber.in_force(&tenant_key("b"))), 2);
    assert_eq!(value(subscriber.in_force(&tenant_key("a"))), 1);
}

#[test]
fn it_asks_from_its_position_and_takes_what_follows() {
    let mut history = History::new(1);
    let stored = stored_with_refusal(&mut history);
    let mut subscriber = Subscriber::resume(settings(), Box::new(TestJudge::default()), &stored, 0);
    on_link(&mut subscriber, FollowerEvent::Tick);
    let actions = on_link(&mut subscriber, FollowerEvent::Connected);
    let watched = actions.iter().find_map(|action| match action {
        SubscriberAction::Link(LinkAction::Send(ToServer::Watch { position, digest, .. })) => {
            Some((*position, *digest))
        }
        _ => None,
    });
    assert_eq!(watched, Some((stored.position, stored.mirror.digest())));

    history.push(vec![allowance("a", 10)]);
    let actions = on_link(&mut subscriber, FollowerEvent::Received(history.since(stored.position)));
    let update = actions.iter().find_map(|action| match action {
        SubscriberAction::InForce(update) => Some(update),
        _ => None,
    });
    assert_eq!(update.map(|update| &update.changes[..]), Some(&[allowance("a", 10)][..]));
}
