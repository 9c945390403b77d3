//! How transactions that arrived one by one come in force, or are held back.

use super::{InForce, Subscriber, SubscriberAction};
use crate::resource::{Change, Key, Position, Transaction};
use crate::subscriber::Persist;
use crate::table::Table;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Subscriber {
    /// Judges transactions one by one; what comes in force of them goes out as one update.
    pub(super) fn take_transactions(
        &mut self,
        before: Table,
        transactions: &[Arc<Transaction>],
        actions: &mut Vec<SubscriberAction>,
    ) {
        let mut mirror = LaggingTable::new(before);
        let mut changes = BTreeMap::new();
        let mut taken = 0;
        for transaction in transactions {
            let refused = match self.judge.judge(&transaction.changes) {
                Ok(()) => false,
                Err(rejection) => {
                    self.counters.refused_transactions += 1;
                    self.refuse(transaction.position, rejection.reason());
                    true
                }
            };
            if refused && !self.can_hold(&transaction.changes) {
                self.stop(mirror.table().clone(), transaction.position);
                break;
            }
            self.in_force.take_refused_or_accepted(transaction, refused, &mut mirror, &mut changes);
            mirror.apply_later(&transaction.changes);
            self.keep_transaction(transaction, refused, &mut mirror);
            taken += 1;
        }
        if taken > 0 {
            self.put_in_force(changes.into_values().collect(), actions);
        }
    }

    fn can_hold(&self, changes: &[Change]) -> bool {
        self.in_force.held_back.len_with(changes) <= self.max_held_back
    }

    fn keep_transaction(
        &mut self,
        transaction: &Arc<Transaction>,
        refused: bool,
        mirror: &mut LaggingTable<'_>,
    ) {
        let record = Persist::Append { transaction: transaction.clone(), refused };
        let in_force = &self.in_force;
        self.waiting_records.push(transaction.position, record, || in_force.to_persisted(mirror.table()));
    }

    /// No more changes are taken until the whole difference to the mirror is accepted.
    fn stop(&mut self, mirror: Table, position: Position) {
        self.in_force.stopped_at = Some(mirror);
        let reason = format!("more than {} keys held back: no change is taken any more", self.max_held_back);
        self.refuse(position, &reason);
    }
}

impl InForce {
    /// Holds a refused transaction back, or adds an accepted one to the changes that come in force.
    fn take_refused_or_accepted(
        &mut self,
        transaction: &Transaction,
        refused: bool,
        mirror: &mut LaggingTable<'_>,
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

/// The mirror as it was after each transaction, brought up to date only when somebody looks: in most cases nobody does,
/// and the copy of a bucket for each change is spared.
struct LaggingTable<'changes> {
    table: Table,
    later: Vec<&'changes [Change]>,
}

impl<'changes> LaggingTable<'changes> {
    fn new(table: Table) -> LaggingTable<'changes> {
        LaggingTable { table, later: Vec::new() }
    }

    fn apply_later(&mut self, changes: &'changes [Change]) {
        self.later.push(changes);
    }

    fn table(&mut self) -> &Table {
        for changes in self.later.drain(..) {
            self.table.apply(changes);
        }
        &self.table
    }
}
