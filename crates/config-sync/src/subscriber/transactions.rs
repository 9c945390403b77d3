//! Judgement of transactions that arrived as deltas: they come in force or are held back.

use super::{InForce, Subscriber, SubscriberAction};
use crate::resource::{Change, Key, Position, Transaction};
use crate::subscriber::Persist;
use crate::table::Table;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Subscriber {
    /// Judges transactions one by one; all accepted ones come in force as one update.
    pub(super) fn judge_transactions(
        &mut self,
        before: Table,
        transactions: &[Arc<Transaction>],
        actions: &mut Vec<SubscriberAction>,
    ) {
        let mut mirror = LazyTable::new(before);
        let mut changes = BTreeMap::new();
        let mut judged = 0;
        for transaction in transactions {
            let refused = match self.judge.judge(&transaction.changes) {
                Ok(()) => false,
                Err(rejection) => {
                    self.counters.refused_transactions += 1;
                    self.refuse(transaction.position, rejection.reason());
                    true
                }
            };
            if refused && !self.can_hold_back(&transaction.changes) {
                self.stop(mirror.table().clone(), transaction.position);
                break;
            }
            self.in_force.record_decision(transaction, refused, &mut mirror, &mut changes);
            mirror.defer(&transaction.changes);
            self.queue_record(transaction, refused, &mut mirror);
            judged += 1;
        }
        if judged > 0 {
            self.put_in_force(changes.into_values().collect(), actions);
        }
    }

    fn can_hold_back(&self, changes: &[Change]) -> bool {
        self.in_force.held_back.len_with(changes) <= self.max_held_back
    }

    fn queue_record(&mut self, transaction: &Arc<Transaction>, refused: bool, mirror: &mut LazyTable<'_>) {
        let record = Persist::Append { transaction: transaction.clone(), refused };
        let in_force = &self.in_force;
        self.waiting_records.push(transaction.position, record, || in_force.to_persisted(mirror.table()));
    }

    /// Stops: no changes come in force until the whole difference to the mirror is accepted.
    fn stop(&mut self, mirror: Table, position: Position) {
        self.in_force.stopped_at = Some(mirror);
        let reason = format!("more than {} keys held back: no more changes are accepted", self.max_held_back);
        self.refuse(position, &reason);
    }
}

impl InForce {
    /// Holds back a refused transaction, or adds an accepted one to the changes that come in force.
    fn record_decision(
        &mut self,
        transaction: &Transaction,
        refused: bool,
        mirror: &mut LazyTable<'_>,
        changes: &mut BTreeMap<Key, Change>,
    ) {
        if refused {
            self.held_back.hold(&transaction.changes, mirror.table());
        } else {
            self.held_back.release(&transaction.changes);
            changes.extend(transaction.changes.iter().map(|change| (change.key(), change.clone())));
        }
        self.position = transaction.position;
        self.published_unix_ms = transaction.published_unix_ms;
    }
}

/// The mirror after each transaction, computed only when it is read: in most cases it is not, which saves
/// copying a bucket for each change.
struct LazyTable<'changes> {
    table: Table,
    deferred: Vec<&'changes [Change]>,
}

impl<'changes> LazyTable<'changes> {
    fn new(table: Table) -> LazyTable<'changes> {
        LazyTable { table, deferred: Vec::new() }
    }

    fn defer(&mut self, changes: &'changes [Change]) {
        self.deferred.push(changes);
    }

    fn table(&mut self) -> &Table {
        for changes in self.deferred.drain(..) {
            self.table.apply(changes);
        }
        &self.table
    }
}
