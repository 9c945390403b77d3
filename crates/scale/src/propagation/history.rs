//! The transactions that the publisher accepted, and the digests that a table in force must therefore have at
//! each position.

use super::changes::PlannedTransaction;
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::table::Table;

/// A transaction that the publisher accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Sequence number in the order of proposals.
    pub sequence: u64,
    /// Position of the transaction.
    pub position: Position,
    /// Time of the proposal to the publisher that accepted it, Unix ms; never later than the acceptance.
    pub at_unix_ms: u64,
    /// Whether the refusing zone refuses the transaction.
    pub refused: bool,
}

/// The accepted transactions of a run and the digests that subscribers must have.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Position of the initial table.
    pub base: Position,
    /// Transactions accepted after the initial table, in order.
    pub accepted: Vec<Accepted>,
    /// Digests of the publisher's table: the initial one, then that after each transaction.
    pub digests: Vec<Digest>,
    /// The same digests for a table without the refused transactions.
    pub refusing_digests: Vec<Digest>,
    /// Zone that refuses transactions.
    pub refusing_zone: usize,
}

impl History {
    /// Creates a history that begins with the initial table.
    pub fn new(base: Position, table: &Table, refusing_zone: usize) -> History {
        let digests = vec![table.digest()];
        History { base, accepted: Vec::new(), refusing_digests: digests.clone(), digests, refusing_zone }
    }

    /// Returns the number of transactions accepted up to a position, or none if the publisher never had that
    /// position.
    pub fn index_of(&self, position: Position) -> Option<usize> {
        if position.epoch != self.base.epoch {
            return None;
        }
        let index = usize::try_from(position.revision.checked_sub(self.base.revision)?).ok()?;
        (index < self.digests.len()).then_some(index)
    }

    /// Returns the digest that the table in force in a zone must have after `index` transactions.
    pub fn expected(&self, zone: usize, index: usize) -> Digest {
        let digests = if zone == self.refusing_zone { &self.refusing_digests } else { &self.digests };
        digests[index]
    }

    /// Returns whether a zone's servers refuse a transaction.
    pub fn is_refused(&self, zone: usize, accepted: &Accepted) -> bool {
        accepted.refused && zone == self.refusing_zone
    }

    /// Returns the position after the last transaction.
    pub fn head(&self) -> Position {
        self.accepted.last().map_or(self.base, |accepted| accepted.position)
    }
}

/// Applies the accepted transactions to tables to compute the digests of the history.
pub struct Replay {
    history: History,
    published: Table,
    refusing: Table,
}

impl Replay {
    /// Creates a replay that begins with the initial table.
    pub fn new(base: Position, table: Table, refusing_zone: usize) -> Replay {
        let history = History::new(base, &table, refusing_zone);
        Replay { history, refusing: table.clone(), published: table }
    }

    /// Adds the next accepted transaction.
    pub fn accept(&mut self, position: Position, at_unix_ms: u64, planned: &PlannedTransaction) {
        self.published.apply(&planned.changes);
        if !planned.refused {
            self.refusing.apply(&planned.changes);
        }
        let PlannedTransaction { sequence, refused, .. } = *planned;
        self.history.accepted.push(Accepted { sequence, position, at_unix_ms, refused });
        self.history.digests.push(self.published.digest());
        self.history.refusing_digests.push(self.refusing.digest());
    }

    /// Returns the history of the transactions accepted so far.
    pub fn history(&self) -> &History {
        &self.history
    }
}
