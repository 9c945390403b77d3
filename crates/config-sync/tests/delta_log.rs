//! Contents of the delta log and its answers to queries by position.

mod server_support;

use dunlinspread_config_sync::delta_log::{DeltaLog, DeltaLogSettings};
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::size::transaction_bytes;
use proptest::prelude::*;
use server_support::{History, at, tenant};

fn log(max_transactions: usize, max_bytes: usize) -> DeltaLog {
    DeltaLog::new(DeltaLogSettings { max_transactions, max_bytes }, at(0), Digest::default())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_log_keeps_a_bounded_end_without_gaps(
        sizes in prop::collection::vec(1..6usize, 0..60),
        max_transactions in 0..20usize,
        max_bytes in 0..3_000usize,
    ) {
        let mut history = History::new();
        let mut log = log(max_transactions, max_bytes);
        let mut all = Vec::new();
        let mut digests = vec![Digest::default()];
        for (number, size) in sizes.iter().enumerate() {
            let changes = (0..*size).map(|index| tenant(&format!("t{index}"), number as u64)).collect();
            let transaction = history.next(changes);
            log.push(transaction.clone()).expect("the next transaction");
            digests.push(transaction.digest);
            all.push(transaction);
            prop_assert_eq!(log.head(), history.position);
            prop_assert!(log.len() <= max_transactions);
            prop_assert!(log.bytes() <= max_bytes);
        }
        let base = log.base().revision as usize;
        prop_assert_eq!(all.len() - base, log.len());
        let held_bytes: usize = all[base..].iter().map(|transaction| transaction_bytes(transaction)).sum();
        prop_assert_eq!(log.bytes(), held_bytes);
        for revision in 0..=all.len() + 2 {
            let is_known = (base..=all.len()).contains(&revision);
            let position = at(revision as u64);
            prop_assert_eq!(log.since(position), is_known.then(|| all[revision..].to_vec()));
            prop_assert_eq!(log.digest_at(position), is_known.then(|| digests[revision]));
        }
    }
}

#[test]
fn only_the_next_transaction_is_taken() {
    let mut history = History::new();
    let mut log = log(10, 10_000);
    let (first, second, third) =
        (history.next(vec![tenant("a", 1)]), history.next(vec![tenant("a", 2)]), history.next(vec![]));
    assert!(log.push(second.clone()).is_err());
    log.push(first.clone()).expect("the next transaction");
    assert!(log.push(first.clone()).is_err());
    assert!(log.push(third).is_err());
    let mut other_epoch = (*second).clone();
    other_epoch.position.epoch += 1;
    assert!(log.push(other_epoch.into()).is_err());
    assert_eq!(log.since(at(0)), Some(vec![first.clone()]));
    log.push(second.clone()).expect("the next transaction");
    assert_eq!(log.since(at(0)), Some(vec![first, second]));
}

#[test]
fn other_epochs_are_not_served() {
    let mut history = History::new();
    let mut log = log(10, 10_000);
    log.push(history.next(vec![tenant("a", 1)])).expect("the next transaction");
    for epoch in [0, server_support::EPOCH - 1, server_support::EPOCH + 1, u64::MAX] {
        assert_eq!(log.since(Position { epoch, revision: 0 }), None);
        assert_eq!(log.digest_at(Position { epoch, revision: 1 }), None);
    }
}

#[test]
fn the_last_revision_has_no_next() {
    let end = at(u64::MAX);
    let mut log = DeltaLog::new(DeltaLogSettings::default(), end, Digest::default());
    let mut history = History::new();
    assert!(log.push(history.next(vec![tenant("a", 1)])).is_err());
    assert_eq!(log.since(end), Some(vec![]));
}

#[test]
fn a_reset_forgets() {
    let mut history = History::new();
    let mut log = log(10, 10_000);
    for transaction in history.tenants(3) {
        log.push(transaction).expect("the next transaction");
    }
    log.reset(at(9), history.table.digest());
    assert!(log.is_empty());
    assert_eq!(log.bytes(), 0);
    assert_eq!(log.since(at(3)), None);
    assert_eq!(log.since(at(9)), Some(vec![]));
    assert_eq!(log.digest_at(at(9)), Some(history.table.digest()));
}
