//! The most recent transactions up to the head, which serve clients that lag a little. Bounded by the number
//! of transactions and by their bytes; the oldest are compacted away.

use crate::resource::{Digest, Position, Transaction};
use crate::size::transaction_bytes;
use std::collections::VecDeque;
use std::sync::Arc;

/// Bounds of a delta log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeltaLogSettings {
    /// Maximum number of transactions.
    pub max_transactions: usize,
    /// Maximum size, in bytes as estimated by [`transaction_bytes`].
    pub max_bytes: usize,
}

impl Default for DeltaLogSettings {
    fn default() -> DeltaLogSettings {
        DeltaLogSettings { max_transactions: 8_192, max_bytes: 8 * 1024 * 1024 }
    }
}

/// Error: a transaction is not the successor of the log's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("transaction {found:?} does not follow the head {head:?}")]
pub struct DoesNotFollow {
    /// Head of the log.
    pub head: Position,
    /// Position of the rejected transaction.
    pub found: Position,
}

/// Transactions after a base position, without gaps.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    settings: DeltaLogSettings,
    base: Position,
    base_digest: Digest,
    transactions: VecDeque<Arc<Transaction>>,
    bytes: usize,
}

impl DeltaLog {
    /// Creates a log without transactions whose head is `base`.
    pub fn new(settings: DeltaLogSettings, base: Position, base_digest: Digest) -> DeltaLog {
        DeltaLog { settings, base, base_digest, transactions: VecDeque::new(), bytes: 0 }
    }

    /// Removes all transactions and sets the head to `base`.
    pub fn reset(&mut self, base: Position, base_digest: Digest) {
        *self = DeltaLog::new(self.settings, base, base_digest);
    }

    /// Appends the transaction that follows the head, and compacts the oldest ones if the log exceeds its
    /// bounds.
    ///
    /// # Errors
    /// Returns [`DoesNotFollow`] if the transaction does not follow the head; the log is unchanged then.
    pub fn push(&mut self, transaction: Arc<Transaction>) -> Result<(), DoesNotFollow> {
        let head = self.head();
        let follows = transaction.position.epoch == head.epoch
            && Some(transaction.position.revision) == head.revision.checked_add(1);
        if !follows {
            return Err(DoesNotFollow { head, found: transaction.position });
        }
        self.bytes += transaction_bytes(&transaction);
        self.transactions.push_back(transaction);
        self.compact();
        Ok(())
    }

    fn compact(&mut self) {
        while self.transactions.len() > self.settings.max_transactions || self.bytes > self.settings.max_bytes
        {
            let Some(oldest) = self.transactions.pop_front() else { return };
            self.bytes -= transaction_bytes(&oldest);
            self.base = oldest.position;
            self.base_digest = oldest.digest;
        }
    }

    /// Returns the position after the last transaction.
    pub fn head(&self) -> Position {
        self.transactions.back().map_or(self.base, |last| last.position)
    }

    /// Returns the oldest position from which the log still leads to the head.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the number of transactions in the log.
    pub fn len(&self) -> usize {
        self.transactions.len()
    }

    /// Returns whether the log holds no transactions.
    pub fn is_empty(&self) -> bool {
        self.transactions.is_empty()
    }

    /// Returns the size of the transactions in the log, in bytes as estimated by [`transaction_bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the digest of the table at `position`, if the log covers it.
    pub fn digest_at(&self, position: Position) -> Option<Digest> {
        let steps = self.steps_to(position)?;
        let last = steps.checked_sub(1).and_then(|index| self.transactions.get(index));
        Some(last.map_or(self.base_digest, |transaction| transaction.digest))
    }

    /// Returns the transactions that lead from `position` to the head; `None` if the log doesn't reach back
    /// to `position`, or if `position` is in another epoch or after the head.
    pub fn since(&self, position: Position) -> Option<Vec<Arc<Transaction>>> {
        Some(self.after(position)?.cloned().collect())
    }

    /// Like [`DeltaLog::since`], but borrows the transactions.
    pub fn after(&self, position: Position) -> Option<impl Iterator<Item = &Arc<Transaction>>> {
        let steps = self.steps_to(position)?;
        Some(self.transactions.range(steps..))
    }

    /// Returns the number of transactions between the base and `position`; `None` if the log doesn't cover
    /// it.
    fn steps_to(&self, position: Position) -> Option<usize> {
        if position.epoch != self.base.epoch || position < self.base || position > self.head() {
            return None;
        }
        usize::try_from(position.revision - self.base.revision).ok()
    }
}
