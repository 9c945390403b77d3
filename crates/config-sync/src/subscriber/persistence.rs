//! State that a subscriber keeps on disk: the last state that its round server put in force, and records of
//! its changes.

use super::held_back::HeldBack;
use crate::resource::{Change, Position, Transaction};
use crate::table::Table;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of records that wait for the round server's confirmation; beyond it, one whole state
/// replaces them.
const MAX_WAITING_RECORDS: usize = 64;

/// A state that was in force, from which a restart continues.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Position of the state.
    pub position: Position,
    /// Time at which the publisher accepted the last transaction, Unix ms.
    pub published_unix_ms: u64,
    /// The publisher's table at that position.
    pub mirror: Table,
    /// Changes that lead from the mirror to the settings in force: the values of keys whose newest change was
    /// refused.
    pub held_back: Vec<Change>,
}

/// A record to be written to disk, in order.
#[derive(Clone, Debug)]
pub enum Persist {
    /// Append a transaction to the stored state.
    Append {
        /// The transaction.
        transaction: Arc<Transaction>,
        /// Whether the round server refused the transaction.
        refused: bool,
    },
    /// Replace the stored state by this one.
    Replace(PersistedState),
}

impl PersistedState {
    /// Applies a record. Applying all stored records in order restores the state.
    pub fn apply(&mut self, record: &Persist) {
        match record {
            Persist::Replace(state) => *self = state.clone(),
            Persist::Append { transaction, refused } => self.append(transaction, *refused),
        }
    }

    fn append(&mut self, transaction: &Transaction, refused: bool) {
        if refused || !self.held_back.is_empty() {
            let mut held_back = HeldBack::from_changes(&self.held_back);
            if refused {
                held_back.hold(&transaction.changes, &self.mirror);
            } else {
                held_back.release(&transaction.changes);
            }
            self.held_back = held_back.to_changes();
        }
        self.mirror.apply(&transaction.changes);
        self.position = transaction.position;
        self.published_unix_ms = transaction.published_unix_ms;
    }
}

/// Records that wait until the round server confirms that their state is in force, so that a state that
/// crashes the server is not the one from which it restarts.
#[derive(Default)]
pub(super) struct WaitingRecords {
    records: VecDeque<(Position, Persist)>,
}

impl WaitingRecords {
    /// Adds a record. `whole` returns the state after it, which replaces all records if too many wait.
    pub(super) fn push(
        &mut self,
        position: Position,
        record: Persist,
        whole: impl FnOnce() -> PersistedState,
    ) {
        if matches!(record, Persist::Replace(_)) {
            self.records.clear();
        }
        if self.records.len() < MAX_WAITING_RECORDS {
            self.records.push_back((position, record));
        } else {
            self.records.clear();
            self.records.push_back((position, Persist::Replace(whole())));
        }
    }

    /// Removes and returns the next record whose position is at most `in_force`.
    pub(super) fn pop(&mut self, in_force: Position) -> Option<Persist> {
        let (position, _) = self.records.front()?;
        if *position > in_force {
            return None;
        }
        self.records.pop_front().map(|(_, record)| record)
    }
}
