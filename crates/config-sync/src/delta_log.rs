//! The last transactions up to the head, from which a client that lags a little is served. Bounded by the number of
//! transactions and by their bytes; the oldest are compacted away.

use crate::resource::{Digest, Position, Transaction};
use crate::size::transaction_bytes;
use std::collections::VecDeque;
use std::sync::Arc;

/// What bounds a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeltaLogSettings {
    /// The most transactions.
    pub max_transactions: usize,
    /// The most bytes, by [`transaction_bytes`].
    pub max_bytes: usize,
}

impl Default for DeltaLogSettings {
    fn default() -> DeltaLogSettings {
        DeltaLogSettings { max_transactions: 8_192, max_bytes: 8 * 1024 * 1024 }
    }
}

/// A transaction is not the next one of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("transaction {found:?} does not follow the head {head:?}")]
pub struct DoesNotFollow {
    /// The head.
    pub head: Position,
    /// What was to be appended.
    pub found: Position,
}

/// The transactions after a base position, without gaps.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    settings: DeltaLogSettings,
    base: Position,
    base_digest: Digest,
    transactions: VecDeque<Arc<Transaction>>,
    bytes: usize,
}

impl DeltaLog {
    /// A log without transactions, its head at `base`.
    pub fn new(settings: DeltaLogSettings, base: Position, base_digest: Digest) -> DeltaLog {
        DeltaLog { settings, base, base_digest, transactions: VecDeque::new(), bytes: 0 }
    }

    /// Forgets all; the head is `base` afterwards.
    pub fn reset(&mut self, base: Position, base_digest: Digest) {
        *self = DeltaLog::new(self.settings, base, base_digest);
    }

    /// Appends the transaction after the head, and compacts the oldest ones past the bounds.
    ///
    /// # Errors
    /// When it is not the one after the head; the log is as before.
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

    /// The position after the last transaction.
    pub fn head(&self) -> Position {
        self.transactions.back().map_or(self.base, |last| last.position)
    }

    /// The oldest position from which the log still leads to the head.
    pub fn base(&self) -> Position {
        self.base
    }

    /// The number of transactions held.
    pub fn len(&self) -> usize {
        self.transactions.len()
    }

    /// Whether none are held.
    pub fn is_empty(&self) -> bool {
        self.transactions.is_empty()
    }

    /// The bytes of the transactions held, by [`transaction_bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The digest of the table at a position, if the log reaches there.
    pub fn digest_at(&self, position: Position) -> Option<Digest> {
        let steps = self.steps_to(position)?;
        let last = steps.checked_sub(1).and_then(|index| self.transactions.get(index));
        Some(last.map_or(self.base_digest, |transaction| transaction.digest))
    }

    /// The transactions that lead from `position` to the head; nothing if the log doesn't reach back there, or if
    /// `position` is of another epoch or after the head.
    pub fn since(&self, position: Position) -> Option<Vec<Arc<Transaction>>> {
        Some(self.after(position)?.cloned().collect())
    }

    /// The same without a copy.
    pub fn after(&self, position: Position) -> Option<impl Iterator<Item = &Arc<Transaction>>> {
        let steps = self.steps_to(position)?;
        Some(self.transactions.range(steps..))
    }

    /// How many of the transactions held lie between the base and `position`.
    fn steps_to(&self, position: Position) -> Option<usize> {
        if position.epoch != self.base.epoch || position < self.base || position > self.head() {
            return None;
        }
        usize::try_from(position.revision - self.base.revision).ok()
    }
}
