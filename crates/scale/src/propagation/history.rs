//! What the publisher accepted, and what follows from it: the digest that a table in force must have at each position.

use super::changes::PlannedTransaction;
use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::table::Table;

/// A transaction that the publisher accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Its place in the order of proposals.
    pub sequence: u64,
    /// Its position.
    pub position: Position,
    /// When it was proposed to the publisher that accepted it, Unix ms: never later than its acceptance.
    pub at_unix_ms: u64,
    /// Whether the refusing zone refuses it.
    pub refused: bool,
}

/// The run as it must have been applied.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The position of the first table.
    pub base: Position,
    /// What was accepted after it, in order.
    pub accepted: Vec<Accepted>,
    /// The digest of the publisher's table at the first table and after each transaction.
    pub digests: Vec<Digest>,
    /// The same for a table from which the refused transactions were kept out.
    pub refusing_digests: Vec<Digest>,
    /// The zone that refuses.
    pub refusing_zone: usize,
}

impl History {
    /// Begins with the first table.
    pub fn new(base: Position, table: &Table, refusing_zone: usize) -> History {
        let digests = vec![table.digest()];
        History { base, accepted: Vec::new(), refusing_digests: digests.clone(), digests, refusing_zone }
    }

    /// How many transactions had been accepted at a position; none if the publisher was never there.
    pub fn index_of(&self, position: Position) -> Option<usize> {
        if position.epoch != self.base.epoch {
            return None;
        }
        let index = usize::try_from(position.revision.checked_sub(self.base.revision)?).ok()?;
        (index < self.digests.len()).then_some(index)
    }

    /// The digest of what must be in force in a zone after so many transactions.
    pub fn expected(&self, zone: usize, index: usize) -> Digest {
        let digests = if zone == self.refusing_zone { &self.refusing_digests } else { &self.digests };
        digests[index]
    }

    /// Whether a zone's servers keep that transaction out of force.
    pub fn is_refused(&self, zone: usize, accepted: &Accepted) -> bool {
        accepted.refused && zone == self.refusing_zone
    }

    /// The position after the last transaction.
    pub fn head(&self) -> Position {
        self.accepted.last().map_or(self.base, |accepted| accepted.position)
    }
}

/// Replays what was accepted, so that the history has its digests.
pub struct Replay {
    history: History,
    published: Table,
    refusing: Table,
}

impl Replay {
    /// Begins with the first table.
    pub fn new(base: Position, table: Table, refusing_zone: usize) -> Replay {
        let history = History::new(base, &table, refusing_zone);
        Replay { history, refusing: table.clone(), published: table }
    }

    /// Adds the next transaction.
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

    /// What was accepted so far.
    pub fn history(&self) -> &History {
        &self.history
    }
}
