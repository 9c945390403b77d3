//! What a subscriber keeps on disk: the last state that its server put in force, and how it grows.

use super::held_back::HeldBack;
use crate::resource::{Change, Position, Transaction};
use crate::table::Table;
use std::collections::VecDeque;
use std::sync::Arc;

/// The most records that wait for the server to confirm; past it one whole state takes their place.
const MAX_WAITING_RECORDS: usize = 64;

/// A state that was in force, and from which a restart goes on.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// The position.
    pub position: Position,
    /// When its last transaction was accepted, Unix ms.
    pub published_unix_ms: u64,
    /// The publisher's table there.
    pub mirror: Table,
    /// What leads from there to what is in force: the values of keys whose newest change was refused.
    pub held_back: Vec<Change>,
}

/// One thing to be kept, in the order given.
#[derive(Clone, Debug)]
pub enum Persist {
    /// Append a transaction to the state kept so far.
    Append {
        /// The transaction.
        transaction: Arc<Transaction>,
        /// Whether the server refused it.
        refused: bool,
    },
    /// Keep this in place of everything so far.
    Replace(PersistedState),
}

impl PersistedState {
    /// Applies a record, so that reading the records back one by one gives the state again.
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

/// Records that wait until the server confirmed that the state is in force, so that a state that brings it down is not
/// the one it starts with again.
#[derive(Default)]
pub(super) struct WaitingRecords {
    records: VecDeque<(Position, Persist)>,
}

impl WaitingRecords {
    /// Adds a record; `whole` gives the state after it, for when too many wait.
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

    /// The next record up to the position that is in force.
    pub(super) fn pop(&mut self, in_force: Position) -> Option<Persist> {
        let (position, _) = self.records.front()?;
        if *position > in_force {
            return None;
        }
        self.records.pop_front().map(|(_, record)| record)
    }
}
