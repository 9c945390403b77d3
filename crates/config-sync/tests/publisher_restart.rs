//! Restarts of a publisher from its store: it continues its epoch and loses no acknowledged change, wherever
//! its disk failed.

mod net_support;

use dunlinspread_config_sync::net::{OpenError, ProposeFailure, PublisherNode, PublisherNodeSettings};
use dunlinspread_config_sync::publisher::ProposeError;
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_store::StoreError;
use dunlinspread_store::sim::{Faults, SimDisk};
use net_support::redirect::Redirect;
use net_support::{
    Lines, Refusing, Subscribers, any_port, class, client_settings, publisher, publisher_settings, server,
    tenant, wait_until,
};
use std::sync::Arc;

fn compacting() -> PublisherNodeSettings {
    PublisherNodeSettings { snapshot_every: 4, ..publisher_settings(any_port()) }
}

#[test]
fn it_goes_on_in_its_epoch_and_subscribers_follow_by_deltas() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let mut running = publisher(store.path(), &log);
    let redirect = Redirect::to(running.address());
    let mut subscribers = Subscribers::new();
    for at in 0..4 {
        let servers = vec![server("publisher", redirect.address, None)];
        subscribers.add(client_settings(&format!("s{at}"), "zone-a", servers), Box::new(Refusing("")), &log);
    }
    let mut last = running.propose(vec![tenant("a", 0)]).expect("accepted");
    wait_until("in force", || subscribers.are_at(last));
    let snapshots: u64 = subscribers.handles.iter().map(|handle| handle.status().snapshots).sum();
    for restart in 1..4 {
        let before = running.status();
        drop(running);
        running = publisher(store.path(), &log);
        assert_eq!((running.head(), running.status().digest), (before.head, before.digest));
        redirect.set(running.address());
        let next = running.propose(vec![tenant("a", restart)]).expect("accepted");
        assert_eq!(next, last.next());
        last = next;
        wait_until("in force", || subscribers.are_at(last));
    }
    for (handle, in_force) in subscribers.handles.iter().zip(&subscribers.in_force) {
        assert_eq!(in_force.regressions(), 0);
        assert_eq!(in_force.table().digest(), running.status().digest);
        assert!(handle.status().connections >= 4);
    }
    let after: u64 = subscribers.handles.iter().map(|handle| handle.status().snapshots).sum();
    assert_eq!(after, snapshots, "no subscriber fetched another snapshot");
}

#[test]
fn its_log_is_compacted_and_nothing_is_lost() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let open = || PublisherNode::open(compacting(), store.path(), log.logger()).expect("the publisher opens");
    let mut running = open();
    let mut compactions = 0;
    for at in 0..40 {
        running
            .propose(vec![tenant(&format!("t{}", at % 7), at), class("gold", at as u32 + 1)])
            .expect("accepted");
        if at % 8 == 7 {
            compactions += 1;
            wait_until("compaction", || log.count("publisher log compacted") >= compactions);
        }
        if at % 16 == 15 {
            let before = running.status();
            drop(running);
            running = open();
            assert_eq!((running.head(), running.status().digest), (before.head, before.digest));
        }
    }
    assert_eq!(running.head().revision, 40);
    assert_eq!(running.status().resources, 8);
}

#[test]
fn a_store_that_was_set_back_begins_a_higher_epoch() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let running = publisher(store.path(), &log);
    let redirect = Redirect::to(running.address());
    let mut subscribers = Subscribers::new();
    let servers = vec![server("publisher", redirect.address, None)];
    subscribers.add(client_settings("s", "zone-a", servers), Box::new(Refusing("")), &log);
    let first = running.propose(vec![tenant("a", 1)]).expect("accepted");
    wait_until("in force", || subscribers.are_at(first));
    drop(running);

    let settings =
        PublisherNodeSettings { begin_epoch: Some(first.epoch + 5), ..publisher_settings(any_port()) };
    let running =
        PublisherNode::open(settings.clone(), store.path(), log.logger()).expect("the publisher opens");
    assert_eq!(running.head(), Position { epoch: first.epoch + 5, revision: 0 });
    redirect.set(running.address());
    let second = running.propose(vec![tenant("b", 2)]).expect("accepted");
    assert_eq!(second, Position { epoch: first.epoch + 5, revision: 1 });
    wait_until("in force", || subscribers.are_at(second));
    assert_eq!(subscribers.in_force[0].table().digest(), running.status().digest);
    drop(running);

    // The epoch begins only once, even if the settings request it again.
    let running = PublisherNode::open(settings, store.path(), log.logger()).expect("the publisher opens");
    assert_eq!(running.head(), second);
}

#[test]
fn a_store_of_another_or_a_damaged_one_is_refused_with_its_reason() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    drop(publisher(store.path(), &log));
    let other = PublisherNodeSettings { name: "other".to_owned(), ..publisher_settings(any_port()) };
    let refused = PublisherNode::open(other, store.path(), log.logger()).err();
    assert!(matches!(refused, Some(OpenError::Store(StoreError::Owner { .. }))), "{refused:?}");
    let running = publisher(store.path(), &log);
    let again = PublisherNode::open(publisher_settings(any_port()), store.path(), log.logger()).err();
    assert!(matches!(again, Some(OpenError::Store(StoreError::Locked { .. }))), "{again:?}");
    drop(running);
}

#[test]
fn a_full_disk_refuses_changes_and_is_gone_on_from() {
    let disk = SimDisk::new(1);
    let log = Lines::default();
    let running =
        PublisherNode::open_on(publisher_settings(any_port()), Arc::new(disk.clone()), log.logger())
            .expect("the publisher opens");
    let first = running.propose(vec![tenant("a", 1)]).expect("accepted");
    disk.set_faults(Faults { capacity_bytes: Some(0), ..Faults::default() });
    for _ in 0..3 {
        let refused = running.propose(vec![tenant("b", 2)]);
        assert!(matches!(refused, Err(ProposeFailure::NotDurable(_))), "{refused:?}");
    }
    assert_eq!(running.head(), first);
    disk.set_faults(Faults::default());
    let second = running.propose(vec![tenant("c", 3)]).expect("accepted again");
    assert_eq!(second, first.next());
    let digest = running.status().digest;
    drop(running);
    let running = PublisherNode::open_on(publisher_settings(any_port()), Arc::new(disk), log.logger())
        .expect("the publisher opens");
    assert_eq!((running.head(), running.status().digest), (second, digest));
}

/// What a publisher acknowledged in a scenario that may have ended early.
#[derive(Default)]
struct Acknowledged {
    /// Every acknowledged position.
    positions: Vec<Position>,
    /// Heads with the digests of their tables.
    digests: Vec<(Position, Digest)>,
}

/// Proposes ten changes, with compactions; ends at the first failure of the disk.
fn scenario(
    disk: &SimDisk,
    subscribers: &mut Subscribers,
    description: &str,
    acknowledged: &mut Acknowledged,
) {
    let log = Lines::default();
    let Ok(running) = PublisherNode::open_on(compacting(), Arc::new(disk.clone()), log.logger()) else {
        return;
    };
    let servers = vec![server("publisher", running.address(), None)];
    subscribers.add(client_settings("s", "zone-a", servers), Box::new(Refusing("")), &log);
    for at in 0..10 {
        match running.propose(vec![tenant(&format!("t{at}"), at)]) {
            Ok(position) => {
                acknowledged.positions.push(position);
                let status = running.status();
                acknowledged.digests.push((status.head, status.digest));
            }
            Err(ProposeFailure::NotDurable(_) | ProposeFailure::Refused(ProposeError::Halted)) => return,
            Err(other) => panic!("{description}: {other}"),
        }
    }
}

#[test]
fn a_crash_at_each_operation_of_its_disk_loses_nothing_that_was_told() {
    let mut reached_end = false;
    for at in 0..400 {
        let description = format!("power cut at operation {at}");
        let disk = SimDisk::new(at);
        disk.set_faults(Faults { crash_at: Some(at), ..Faults::default() });
        let (mut subscribers, mut acknowledged) = (Subscribers::new(), Acknowledged::default());
        scenario(&disk, &mut subscribers, &description, &mut acknowledged);
        let crashed = disk.is_powered_off();
        disk.power_cycle();

        let log = Lines::default();
        let running = PublisherNode::open_on(compacting(), Arc::new(disk.clone()), log.logger())
            .unwrap_or_else(|error| panic!("{description}: {error}"));
        let status = running.status();
        let last_acknowledged = acknowledged.positions.last().copied().unwrap_or_default();
        let last_seen = subscribers.in_force.first().map(|in_force| in_force.position()).unwrap_or_default();
        assert!(
            status.head >= last_acknowledged && status.head >= last_seen,
            "{description}: {status:?}, acknowledged {last_acknowledged:?}"
        );
        if last_acknowledged != Position::default() {
            assert_eq!(status.head.epoch, last_acknowledged.epoch, "{description}");
        }
        // Beside the acknowledged changes the store may have one more: the change whose outcome was unknown
        // at the crash.
        assert!(status.head.revision <= acknowledged.positions.len() as u64 + 1, "{description}: {status:?}");
        assert_eq!(status.resources as u64, status.head.revision, "{description}");
        if let Some((_, digest)) = acknowledged.digests.iter().find(|(position, _)| *position == status.head)
        {
            assert_eq!(status.digest, *digest, "{description}");
        }
        let next = running
            .propose(vec![tenant("after", 1)])
            .unwrap_or_else(|error| panic!("{description}: {error}"));
        assert_eq!(next, status.head.next(), "{description}");
        if !crashed {
            assert_eq!(
                acknowledged.positions.len(),
                10,
                "{description}: all changes are acknowledged without a failure"
            );
            reached_end = true;
            break;
        }
    }
    assert!(reached_end, "the scenario has more operations than were tried");
}

#[test]
fn a_failing_sync_stops_the_publisher_until_it_is_opened_again() {
    let disk = SimDisk::new(3);
    let log = Lines::default();
    let open =
        || PublisherNode::open_on(publisher_settings(any_port()), Arc::new(disk.clone()), log.logger());
    let running = open().expect("the publisher opens");
    let first = running.propose(vec![tenant("a", 1)]).expect("accepted");
    disk.set_faults(Faults { failing_syncs: vec![0], ..Faults::default() });
    let refused = running.propose(vec![tenant("b", 2)]);
    assert!(matches!(refused, Err(ProposeFailure::NotDurable(_))), "{refused:?}");
    let halted = running.propose(vec![tenant("c", 3)]);
    assert_eq!(halted, Err(ProposeFailure::Refused(ProposeError::Halted)));
    assert_eq!(running.head(), first, "the failed change is not published");
    drop(running);
    disk.power_cycle();
    let running = open().expect("the publisher opens again");
    assert!(running.head() == first || running.head() == first.next());
    running.propose(vec![tenant("c", 3)]).expect("accepted again");
}
