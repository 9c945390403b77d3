//! The publisher: accepted and refused proposals, publication of durable transactions, and failures and
//! restarts of the store.

mod server_support;

use dunlinspread_config_sync::fanout::{FanoutAction, FanoutEvent, SessionId};
use dunlinspread_config_sync::message::{Role, ToClient, ToServer};
use dunlinspread_config_sync::publisher::{
    ProposeError, Publisher, PublisherAction, PublisherSettings, RestoreError, ResumeError,
};
use dunlinspread_config_sync::resource::{Change, Digest, Invalid, Key, MAX_CHANGES, Position, Transaction};
use dunlinspread_config_sync::table::{Table, bucket_of};
use server_support::{EPOCH, at, class, delete_class, member, route, tenant, zone_progress};
use std::sync::Arc;

fn publisher() -> Publisher {
    let known_classes = [Arc::from("standard")].into();
    Publisher::new(PublisherSettings { known_classes, ..PublisherSettings::default() }, EPOCH)
}

fn propose(publisher: &mut Publisher, changes: Vec<Change>) -> Result<Arc<Transaction>, ProposeError> {
    let mut out = Vec::new();
    let proposed = publisher.propose(1_000, changes, &mut out);
    match (proposed, out.as_slice()) {
        (Ok(position), [PublisherAction::Persist { transaction }]) => {
            assert_eq!(transaction.position, position);
            assert_eq!(transaction.published_unix_ms, 1_000);
            Ok(transaction.clone())
        }
        (Err(error), []) => Err(error),
        (proposed, out) => panic!("{proposed:?} with {out:?}"),
    }
}

fn accept(publisher: &mut Publisher, changes: Vec<Change>) -> Arc<Transaction> {
    let transaction = propose(publisher, changes).expect("acceptable");
    publisher.on_durable(0, transaction.position, &mut Vec::new());
    transaction
}

fn event(publisher: &mut Publisher, event: FanoutEvent) -> Vec<Arc<ToClient>> {
    let mut out = Vec::new();
    publisher.on_event(0, event, &mut out);
    messages(out)
}

fn messages(out: Vec<PublisherAction>) -> Vec<Arc<ToClient>> {
    let messages = out.into_iter().map(|action| match action {
        PublisherAction::Fanout(FanoutAction::Send { message, .. }) => message,
        other => panic!("expected a message, got {other:?}"),
    });
    messages.collect()
}

fn watch(publisher: &mut Publisher, id: u64, position: Position, digest: Digest) -> Vec<Arc<ToClient>> {
    let member = member(&format!("member-{id}"), "a", Role::Subscriber);
    event(publisher, FanoutEvent::Opened(SessionId(id)));
    event(publisher, FanoutEvent::Received(SessionId(id), ToServer::Watch { member, position, digest }))
}

#[test]
fn nobody_hears_of_a_transaction_before_it_is_durable() {
    let mut publisher = publisher();
    watch(&mut publisher, 1, at(0), Digest::default());
    let first = propose(&mut publisher, vec![tenant("a", 1)]).expect("acceptable");
    let second = propose(&mut publisher, vec![tenant("a", 2)]).expect("acceptable");
    assert_eq!((publisher.head(), publisher.table().len(), publisher.under_way()), (at(0), 0, 2));
    assert!(watch(&mut publisher, 2, at(0), Digest::default()).is_empty());
    let heartbeats = event(&mut publisher, FanoutEvent::Tick);
    assert!(heartbeats.iter().all(|message| **message == ToClient::Heartbeat { head: at(0), age_ms: 0 }));

    let mut out = Vec::new();
    publisher.on_durable(0, first.position, &mut out);
    assert_eq!((publisher.head(), publisher.under_way()), (at(1), 1));
    let sent = messages(out);
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|message| **message == ToClient::Deltas(vec![first.clone()])));

    let mut out = Vec::new();
    publisher.on_durable(100, second.position, &mut out);
    assert_eq!(publisher.head(), at(2));
    assert!(messages(out).iter().all(|message| **message == ToClient::Deltas(vec![second.clone()])));
}

#[test]
fn one_commit_may_make_many_durable() {
    let mut publisher = publisher();
    watch(&mut publisher, 1, at(0), Digest::default());
    let all: Vec<_> =
        (1..=4).map(|value| propose(&mut publisher, vec![tenant("a", value)]).expect("acceptable")).collect();
    let mut out = Vec::new();
    publisher.on_durable(0, at(3), &mut out);
    assert_eq!(*messages(out)[0], ToClient::Deltas(all[..3].to_vec()));
    assert_eq!(publisher.table().digest(), all[2].digest);
    for early in [at(0), at(2), at(3)] {
        let mut out = Vec::new();
        publisher.on_durable(0, early, &mut out);
        assert!(out.is_empty(), "already published transactions are not sent again");
    }
    assert_eq!(publisher.under_way(), 1);
}

#[test]
fn faulty_changes_are_refused() {
    let mut publisher = publisher();
    let many = (0..=MAX_CHANGES).map(|number| tenant(&format!("t{number}"), 1)).collect();
    let cases = [
        (vec![], Invalid::Size(0)),
        (many, Invalid::Size(MAX_CHANGES + 1)),
        (vec![tenant("", 1)], Invalid::Name(0)),
        (vec![tenant(&"x".repeat(129), 1)], Invalid::Name(129)),
        (vec![class("gold", 0)], Invalid::Limit("gold".into())),
        (vec![tenant("a", 1), Change::Delete(Key::Tenant("a".into()))], Invalid::Twice("a".into())),
    ];
    for (changes, invalid) in cases {
        assert_eq!(propose(&mut publisher, changes), Err(ProposeError::Invalid(invalid)));
    }
    assert_eq!((publisher.under_way(), publisher.head()), (0, at(0)));
}

#[test]
fn a_route_needs_its_class() {
    let mut publisher = publisher();
    let unknown = |route: &str| {
        Err(ProposeError::Invalid(Invalid::UnknownClass { route: route.into(), class: "gold".into() }))
    };
    assert_eq!(propose(&mut publisher, vec![route("Get", "gold")]), unknown("Get"));
    propose(&mut publisher, vec![route("Put", "standard")]).expect("a known class");
    propose(&mut publisher, vec![route("Get", "gold"), class("gold", 4)])
        .expect("its class is in the same proposal");
    propose(&mut publisher, vec![route("List", "gold")]).expect("its class is under way");
    let moved = vec![route("List", "standard"), route("Get", "standard"), delete_class("gold")];
    propose(&mut publisher, moved).expect("no route is left");
    assert_eq!(propose(&mut publisher, vec![route("Get", "gold")]), unknown("Get"));
    propose(&mut publisher, vec![class("gold", 1)]).expect("acceptable");
    let both = vec![route("Get", "gold"), delete_class("gold")];
    assert_eq!(propose(&mut publisher, both), unknown("Get"));
}

#[test]
fn a_class_in_use_keeps_its_limit() {
    let mut publisher = publisher();
    accept(
        &mut publisher,
        vec![class("gold", 4), class("standard", 2), route("Get", "gold"), route("Put", "gold")],
    );
    accept(&mut publisher, vec![route("List", "standard")]);
    let in_use = |routes| Err(ProposeError::ClassInUse { class: "gold".into(), routes });
    assert_eq!(propose(&mut publisher, vec![delete_class("gold")]), in_use(2));
    let one_moved = vec![delete_class("gold"), route("Get", "standard")];
    assert_eq!(propose(&mut publisher, one_moved), in_use(1));
    propose(&mut publisher, vec![delete_class("standard")]).expect("the class is known without a limit");
    propose(&mut publisher, vec![Change::Delete(Key::Route("Get".into()))]).expect("acceptable");
    assert_eq!(propose(&mut publisher, vec![delete_class("gold")]), in_use(1));
    propose(&mut publisher, vec![Change::Delete(Key::Route("Put".into())), delete_class("gold")])
        .expect("no route is left");
}

#[test]
fn what_changes_nothing_is_refused() {
    let mut publisher = publisher();
    propose(&mut publisher, vec![tenant("a", 1), class("gold", 1)]).expect("acceptable");
    let same = vec![tenant("a", 1), Change::Delete(Key::Route("None".into()))];
    assert_eq!(propose(&mut publisher, same), Err(ProposeError::NoChange));
    assert_eq!(propose(&mut publisher, vec![delete_class("none")]), Err(ProposeError::NoChange));
    propose(&mut publisher, vec![tenant("a", 1), class("gold", 2)]).expect("one change has an effect");
}

#[test]
fn proposals_resources_and_sizes_are_bounded() {
    let settings = PublisherSettings {
        max_under_way: 2,
        max_resources: 3,
        max_bucket_bytes: 150,
        ..PublisherSettings::default()
    };
    let mut publisher = Publisher::new(settings, EPOCH);
    propose(&mut publisher, vec![tenant("a", 1), tenant("b", 1)]).expect("acceptable");
    let full = ProposeError::TableFull { found: 4, max: 3 };
    assert_eq!(propose(&mut publisher, vec![tenant("c", 1), tenant("d", 1)]), Err(full));
    propose(&mut publisher, vec![tenant("c", 1), Change::Delete(Key::Tenant("a".into()))])
        .expect("acceptable");
    assert_eq!(propose(&mut publisher, vec![tenant("b", 2)]), Err(ProposeError::TooManyUnderWay(2)));
    publisher.on_durable(0, at(1), &mut Vec::new());
    let long = "x".repeat(128);
    let bucket = bucket_of(&Key::Tenant(long.as_str().into()));
    let too_full = ProposeError::BucketFull { bucket, bytes: 160, max: 150 };
    assert_eq!(propose(&mut publisher, vec![tenant(&long, 2)]), Err(too_full));
    propose(&mut publisher, vec![tenant("b", 2)]).expect("acceptable");

    let long_name = |number: usize| format!("{number:0>128}");
    let large = (0..MAX_CHANGES).map(|number| tenant(&long_name(number), 1)).collect();
    let mut publisher = self::publisher();
    assert_eq!(propose(&mut publisher, large), Err(ProposeError::TooLarge(160_000)));
}

#[test]
fn after_a_failed_store_nothing_is_taken_until_it_is_known_what_it_holds() {
    let mut publisher = publisher();
    accept(&mut publisher, vec![class("gold", 1)]);
    let durable = propose(&mut publisher, vec![route("Get", "gold")]).expect("acceptable");
    propose(&mut publisher, vec![route("Put", "gold")]).expect("acceptable");
    propose(&mut publisher, vec![tenant("a", 1)]).expect("acceptable");
    publisher.on_persist_failed();
    assert_eq!(propose(&mut publisher, vec![tenant("b", 1)]), Err(ProposeError::Halted));
    assert_eq!((publisher.head(), publisher.halted()), (at(1), true));

    for claimed in [at(0), at(5), Position { epoch: EPOCH + 1, revision: 2 }] {
        let refused = publisher.resume(0, claimed, &mut Vec::new());
        assert_eq!(refused, Err(ResumeError { claimed, head: at(1), last: at(4) }));
        assert!(publisher.halted());
    }
    let mut out = Vec::new();
    assert_eq!(publisher.resume(0, at(2), &mut out), Ok(vec![at(3), at(4)]));
    assert_eq!((publisher.head(), publisher.under_way()), (at(2), 0));
    assert_eq!(publisher.table().digest(), durable.digest);
    let in_use = ProposeError::ClassInUse { class: "gold".into(), routes: 1 };
    assert_eq!(
        propose(&mut publisher, vec![delete_class("gold")]),
        Err(in_use),
        "the dropped route is not counted"
    );
    let next = propose(&mut publisher, vec![tenant("a", 1)]).expect("a dropped change may be proposed again");
    assert_eq!(next.position, at(3));
}

#[test]
fn a_restart_goes_on_in_the_same_epoch_and_serves_deltas() {
    let mut before = publisher();
    accept(&mut before, vec![class("gold", 1), route("Get", "gold")]);
    let (position, table) = (before.head(), before.table().clone());
    let later: Vec<_> = (1..=3)
        .map(|value| accept(&mut before, vec![tenant("a", value), route(&format!("Put{value}"), "gold")]))
        .collect();
    let stored: Vec<Transaction> = later.iter().map(|transaction| (**transaction).clone()).collect();

    let settings = PublisherSettings::default;
    let restored = Publisher::restore(settings(), position, table.clone(), 9, stored.clone());
    let mut restored = restored.expect("a consistent store");
    assert_eq!(restored.head(), at(4));
    assert_eq!(restored.table().digest(), before.table().digest());
    let sent = watch(&mut restored, 1, at(2), later[0].digest);
    assert_eq!(*sent[0], ToClient::Deltas(later[1..].to_vec()));
    let in_use = ProposeError::ClassInUse { class: "gold".into(), routes: 4 };
    assert_eq!(propose(&mut restored, vec![delete_class("gold")]), Err(in_use));
    let next = propose(&mut restored, vec![tenant("a", 9)]).expect("acceptable");
    assert_eq!(next.position, at(5));

    let gap = Publisher::restore(settings(), position, table.clone(), 9, stored[1..].to_vec());
    assert_eq!(gap.err(), Some(RestoreError::DoesNotFollow { head: at(1), found: at(3) }));
    let mut corrupted = stored;
    corrupted[1].changes = vec![tenant("a", 99)];
    let damaged = Publisher::restore(settings(), position, table, 9, corrupted);
    assert!(matches!(damaged.err(), Some(RestoreError::Digest { position, .. }) if position == at(3)));
}

#[test]
fn a_new_epoch_is_followed_by_a_snapshot() {
    let mut publisher = Publisher::restore(
        PublisherSettings::default(),
        Position { epoch: EPOCH + 1, revision: 0 },
        Table::new(),
        0,
        Vec::new(),
    )
    .expect("a consistent store");
    let sent = watch(&mut publisher, 1, at(900), Digest(5));
    assert_eq!(*sent[0], ToClient::Resync { head: Position { epoch: EPOCH + 1, revision: 0 } });
}

#[test]
fn the_last_revision_ends_an_epoch() {
    let end = at(u64::MAX);
    let settings = PublisherSettings::default();
    let mut publisher =
        Publisher::restore(settings, end, Table::new(), 0, Vec::new()).expect("a consistent store");
    assert_eq!(propose(&mut publisher, vec![tenant("a", 1)]), Err(ProposeError::EpochOver));
}

#[test]
fn the_least_in_force_is_known_by_zone() {
    let mut publisher = publisher();
    accept(&mut publisher, vec![tenant("a", 1)]);
    for id in 1..=2 {
        watch(&mut publisher, id, at(0), Digest::default());
        let zones = vec![zone_progress("a", 1, at(id - 1), 0)];
        let report = ToServer::Progress { zones, refusals: vec![] };
        event(&mut publisher, FanoutEvent::Received(SessionId(id), report));
    }
    assert_eq!(publisher.least_in_force(), [zone_progress("a", 2, at(0), 0)]);
    let report = ToServer::Progress { zones: vec![zone_progress("a", 1, at(1), 1)], refusals: vec![] };
    event(&mut publisher, FanoutEvent::Received(SessionId(1), report));
    assert_eq!(publisher.least_in_force(), [zone_progress("a", 2, at(1), 1)]);
}
