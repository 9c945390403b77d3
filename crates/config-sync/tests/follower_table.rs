//! The follower's table: it advances in whole steps or not at all.

mod client_support;

use client_support::{Driver, History, allowance, at, member, server};
use dunlinspread_config_sync::follower::{
    Advance, DisconnectReason, FollowerEvent, FollowerSettings, SessionFault,
};
use dunlinspread_config_sync::message::{BucketContent, ToClient, ToServer};
use dunlinspread_config_sync::resource::{Digest, Position, Transaction};
use std::sync::Arc;

fn settings() -> FollowerSettings {
    let servers = vec![server("relay-1", Some("a1"), "a"), server("relay-2", Some("a1"), "a")];
    FollowerSettings::new(member("server-1", "a1", "a"), servers, 7)
}

fn history(transactions: u64) -> History {
    let mut history = History::new(1);
    history.grow(transactions);
    history
}

/// Returns a follower that has all of `history` and an open session.
fn at_head_of(history: &History) -> Driver {
    let mut driver = Driver::with_state(settings(), history.position, history.table.clone());
    driver.accept();
    driver.receive(history.heartbeat());
    driver
}

fn assert_at(driver: &Driver, history: &History) {
    assert_eq!(driver.follower.position(), history.position);
    assert_eq!(driver.follower.table().digest(), history.table.digest());
}

fn damaged(transaction: &Transaction) -> Arc<Transaction> {
    let digest = Digest(transaction.digest.0 ^ 1);
    Arc::new(Transaction { digest, ..transaction.clone() })
}

#[test]
fn from_nothing_a_snapshot_applies_whole_at_its_end() {
    let history = history(40);
    let mut driver = Driver::new(settings());
    driver.accept();
    driver.receive(ToClient::Resync { head: history.position });
    assert_eq!(driver.fetched(), Some(vec![]), "with nothing, no bucket digests are sent");
    let messages = history.snapshot(&[]);
    let (end, pieces) = messages.split_last().expect("an end");
    for (sequence, piece) in (0..).zip(pieces) {
        driver.receive(piece.clone());
        assert_eq!(driver.sent(), [ToServer::PieceTaken { sequence }]);
        assert!(driver.advances().is_empty());
        assert!(driver.follower.table().is_empty(), "nothing is applied before the end");
    }
    driver.receive(end.clone());
    assert_at(&driver, &history);
    let [Advance::Snapshot { before, position, .. }] = driver.advances()[..] else {
        panic!("expected one snapshot")
    };
    assert!(before.is_empty());
    assert_eq!(*position, history.position);
}

#[test]
fn deltas_apply_in_order_and_go_on_after_a_snapshot() {
    let mut history = history(3);
    let mut driver = at_head_of(&history);
    let known = history.position;
    history.grow(5);
    driver.receive(history.since(known));
    assert_at(&driver, &history);
    let [Advance::Deltas { transactions, .. }] = driver.advances()[..] else {
        panic!("expected one `Advance::Deltas`")
    };
    assert_eq!(transactions.len(), 5);
    driver.receive(history.since(known));
    assert!(driver.actions.is_empty(), "known transactions change nothing");
    assert_at(&driver, &history);
}

#[test]
fn a_digest_that_differs_keeps_the_old_table_and_leads_to_a_snapshot() {
    let mut history = history(6);
    let mut driver = at_head_of(&history);
    let before = history.clone();
    let next = history.push(vec![allowance("tenant-1", 5_555)]);
    driver.receive(ToClient::Deltas(vec![damaged(&next)]));
    assert_at(&driver, &before);
    assert!(driver.advances().is_empty());
    assert_eq!(driver.fetched(), Some(before.table.bucket_digests()));
    assert_eq!(driver.follower.counters().digest_mismatches, 1);
    driver.receive(ToClient::Deltas(vec![next]));
    assert_at(&driver, &before);
    for message in history.snapshot(&before.table.bucket_digests()) {
        driver.receive(message);
    }
    assert_at(&driver, &history);
    let known = history.position;
    history.grow(1);
    driver.receive(history.since(known));
    assert_at(&driver, &history);
}

#[test]
fn a_second_mismatch_in_a_session_leaves_the_server() {
    let mut history = history(6);
    let mut driver = at_head_of(&history);
    let before = history.clone();
    let bad = damaged(&history.push(vec![allowance("tenant-1", 5_555)]));
    driver.receive(ToClient::Deltas(vec![bad.clone()]));
    for message in before.snapshot(&before.table.bucket_digests()) {
        driver.receive(message);
    }
    driver.receive(ToClient::Deltas(vec![bad.clone()]));
    let fault = SessionFault::TransactionDigest(bad.position);
    assert_eq!(driver.left(), Some(DisconnectReason::Fault(fault)));
    assert_at(&driver, &before);
}

#[test]
fn the_good_beginning_of_a_batch_is_kept() {
    let mut history = history(2);
    let mut driver = at_head_of(&history);
    let good = history.push(vec![allowance("tenant-1", 1)]);
    let after_good = history.clone();
    let bad = damaged(&history.push(vec![allowance("tenant-2", 2)]));
    driver.receive(ToClient::Deltas(vec![good, bad]));
    assert_at(&driver, &after_good);
    let [Advance::Deltas { transactions, .. }] = driver.advances()[..] else {
        panic!("expected one `Advance::Deltas`")
    };
    assert_eq!(transactions.len(), 1);
    assert!(driver.fetched().is_some());
}

#[test]
fn a_gap_leads_to_a_snapshot() {
    let mut history = history(2);
    let mut driver = at_head_of(&history);
    let before = history.clone();
    history.grow(2);
    let last = history.transactions.last().expect("a transaction").clone();
    driver.receive(ToClient::Deltas(vec![last]));
    assert_at(&driver, &before);
    assert!(driver.fetched().is_some());
}

#[test]
fn a_gap_is_noticed_also_where_the_digest_fits() {
    let mut history = history(2);
    history.push(vec![allowance("tenant-1", 1)]);
    let mut driver = at_head_of(&history);
    let before = history.clone();
    history.push(vec![allowance("tenant-1", 2)]);
    let back = history.push(vec![allowance("tenant-1", 1)]);
    assert_eq!(back.digest, before.table.digest());
    driver.receive(ToClient::Deltas(vec![back]));
    assert_at(&driver, &before);
    assert!(driver.fetched().is_some());
}

#[test]
fn a_link_that_breaks_in_a_snapshot_leaves_the_old_table() {
    let mut history = history(30);
    let mut driver = at_head_of(&history);
    let before = history.clone();
    history.grow(30);
    driver.receive(ToClient::Resync { head: history.position });
    let messages = history.snapshot(&before.table.bucket_digests());
    for message in &messages[..messages.len() / 2] {
        driver.receive(message.clone());
    }
    driver.event(FollowerEvent::Disconnected);
    assert_at(&driver, &before);
    driver.next_attempt();
    driver.event(FollowerEvent::Connected);
    let watch = &driver.sent()[0];
    assert!(matches!(watch, ToServer::Watch { position, .. } if *position == before.position));
    driver.receive(ToClient::Resync { head: history.position });
    history.snapshot(&before.table.bucket_digests()).into_iter().for_each(|message| {
        driver.receive(message);
    });
    assert_at(&driver, &history);
}

#[test]
fn a_snapshot_that_does_not_fit_is_dropped_and_the_next_is_fetched_whole() {
    let mut history = history(30);
    let mut driver = at_head_of(&history);
    let before = history.clone();
    history.grow(30);
    driver.receive(ToClient::Resync { head: history.position });
    let mut messages = history.snapshot(&before.table.bucket_digests());
    messages.remove(0);
    for message in &mut messages {
        match message {
            ToClient::Piece { sequence, .. } => *sequence -= 1,
            ToClient::SnapshotEnd { pieces, .. } => *pieces -= 1,
            _ => unreachable!("a snapshot is pieces and an end"),
        }
    }
    messages.into_iter().for_each(|message| {
        driver.receive(message);
    });
    assert_eq!(driver.left(), Some(DisconnectReason::Fault(SessionFault::SnapshotDigest(history.position))));
    assert_at(&driver, &before);
    driver.accept();
    driver.receive(ToClient::Resync { head: history.position });
    assert_eq!(driver.fetched(), Some(vec![]));
    history.snapshot(&[]).into_iter().for_each(|message| {
        driver.receive(message);
    });
    assert_at(&driver, &history);
}

#[test]
fn faulty_pieces_end_the_session_and_change_nothing() {
    let mut history = history(30);
    let before = history.clone();
    history.grow(30);
    let good = history.snapshot(&[]);
    let ToClient::Piece { buckets, .. } = &good[0] else { panic!("expected a piece") };
    let misplaced = BucketContent { bucket: buckets[0].bucket ^ 1, ..buckets[0].clone() };
    let out_of_range = BucketContent { bucket: u16::MAX, resources: vec![] };
    let faulty = [
        ToClient::Piece { sequence: 1, buckets: buckets.clone() },
        ToClient::Piece { sequence: 0, buckets: vec![buckets[0].clone(), buckets[0].clone()] },
        ToClient::Piece { sequence: 0, buckets: vec![misplaced] },
        ToClient::Piece { sequence: 0, buckets: vec![out_of_range] },
        ToClient::SnapshotEnd {
            position: history.position,
            digest: history.table.digest(),
            pieces: 9,
            published_unix_ms: 0,
        },
    ];
    for message in faulty {
        let mut driver = at_head_of(&before);
        driver.receive(ToClient::Resync { head: history.position });
        driver.receive(message.clone());
        assert!(matches!(driver.left(), Some(DisconnectReason::Fault(_))), "{message:?}");
        assert_at(&driver, &before);
    }
    let mut driver = at_head_of(&before);
    driver.receive(good[0].clone());
    assert_eq!(driver.left(), Some(DisconnectReason::Fault(SessionFault::UnexpectedSnapshot)));
}

#[test]
fn a_snapshot_past_the_bound_of_resources_is_not_taken() {
    let history = history(30);
    let mut driver = Driver::new(FollowerSettings { max_resources: 5, ..settings() });
    driver.accept();
    driver.receive(ToClient::Resync { head: history.position });
    for message in history.snapshot(&[]) {
        driver.receive(message);
        if let Some(reason) = driver.left() {
            assert_eq!(reason, DisconnectReason::Fault(SessionFault::TooManyResources(5)));
            assert!(driver.follower.table().is_empty());
            return;
        }
    }
    panic!("the snapshot was accepted");
}

#[test]
fn a_higher_epoch_is_followed_by_a_snapshot() {
    let old = history(20);
    let mut driver = at_head_of(&old);
    let mut new = History::new(2);
    new.grow(3);
    driver.receive(ToClient::Resync { head: new.position });
    new.snapshot(&old.table.bucket_digests()).into_iter().for_each(|message| {
        driver.receive(message);
    });
    assert_at(&driver, &new);
    assert!(driver.follower.position() > at(1, 20));
}

#[test]
fn a_snapshot_of_the_same_state_is_no_step() {
    let history = history(20);
    let mut driver = at_head_of(&history);
    driver.receive(ToClient::Resync { head: history.position });
    for message in history.snapshot(&history.table.bucket_digests()) {
        driver.receive(message);
        assert!(driver.advances().is_empty());
    }
    assert_at(&driver, &history);
}

#[test]
fn tables_of_equal_content_are_shared() {
    let mut history = history(20);
    let mut driver = Driver::with_state(settings(), Position::default(), Default::default());
    assert!(!driver.follower.share_table(&history.table));
    driver.accept();
    driver.receive(ToClient::Resync { head: history.position });
    history.snapshot(&[]).into_iter().for_each(|message| {
        driver.receive(message);
    });
    assert!(!driver.follower.table().shares_with(&history.table));
    assert!(driver.follower.share_table(&history.table));
    assert!(driver.follower.table().shares_with(&history.table));
    let known = history.position;
    history.grow(1);
    driver.receive(history.since(known));
    assert_at(&driver, &history);
}
