//! Schedule of the writes of a subscriber's state to disk: decisions without I/O or clock. One half runs in
//! the subscriber, which queues records, and the other in the thread that owns the store.
//!
//! # Invariants
//! - After a failure, nothing is written until [`RETRY_MS`] have passed since the subscriber learned of it;
//!   the first write is then the whole state.
//! - A record is written only after all earlier records, or after a whole state that includes them.

use crate::resource::Millis;
use crate::size::transaction_bytes;
use crate::subscriber::{Persist, PersistedState};

/// Delay before the disk is retried after a failure, ms.
pub const RETRY_MS: Millis = 30_000;
/// Number of transactions after which the whole state replaces them.
const MAX_APPENDED: u64 = 4096;
/// Size of transactions, in bytes, after which the whole state replaces them.
const MAX_APPENDED_BYTES: usize = 16 << 20;

/// A record queued for the thread that owns the store.
#[derive(Clone, Debug)]
pub struct QueuedRecord {
    /// Record to be written.
    pub record: Persist,
    /// Whether a failed store is reopened for this record. The record is then a whole state.
    pub is_retry: bool,
}

/// Whether the whole state has to be written before any further transaction.
#[derive(Clone, Copy, Debug, Default)]
enum WholeState {
    #[default]
    NotDue,
    /// Records were skipped, or many were appended since the last whole state.
    Due,
    /// The whole state is due after a failure of the disk, at `not_before` at the earliest.
    DueAfterFailure { not_before: Millis },
}

/// The subscriber's half: decides which records are queued.
#[derive(Debug, Default)]
pub struct WriteSchedule {
    whole_state: WholeState,
    /// Number of transactions since the last whole state.
    appended: u64,
    /// Size of these transactions, in bytes.
    appended_bytes: usize,
}

impl WriteSchedule {
    /// Returns the record to queue for the subscriber's next record; `None` if a whole state will replace it.
    pub fn next(&mut self, record: Persist) -> Option<QueuedRecord> {
        match (&record, self.whole_state) {
            (_, WholeState::DueAfterFailure { .. }) | (Persist::Append { .. }, WholeState::Due) => {
                return None;
            }
            (Persist::Replace(_), _) => self.reset(),
            (Persist::Append { transaction, .. }, WholeState::NotDue) => {
                self.appended += 1;
                self.appended_bytes += transaction_bytes(transaction);
            }
        }
        if self.appended > MAX_APPENDED || self.appended_bytes > MAX_APPENDED_BYTES {
            self.whole_state = WholeState::Due;
            return None;
        }
        Some(QueuedRecord { record, is_retry: false })
    }

    /// Records that a record could not be queued because too many wait.
    pub fn on_not_queued(&mut self, record: &QueuedRecord) {
        self.whole_state =
            if record.is_retry { WholeState::DueAfterFailure { not_before: 0 } } else { WholeState::Due };
    }

    /// Records that the disk failed.
    pub fn on_failure(&mut self, now: Millis) {
        self.whole_state = WholeState::DueAfterFailure { not_before: now + RETRY_MS };
    }

    /// Returns whether the whole state is to be queued now.
    pub fn is_whole_state_due(&self, now: Millis) -> bool {
        match self.whole_state {
            WholeState::NotDue => false,
            WholeState::Due => true,
            WholeState::DueAfterFailure { not_before } => now >= not_before,
        }
    }

    /// Returns the record to queue for the whole state once it is due.
    pub fn whole_state(&mut self, state: PersistedState) -> QueuedRecord {
        let is_retry = matches!(self.whole_state, WholeState::DueAfterFailure { .. });
        self.reset();
        QueuedRecord { record: Persist::Replace(state), is_retry }
    }

    fn reset(&mut self) {
        *self = WriteSchedule::default();
    }
}

/// The store thread's half: returns the records of a batch that are to be written. A failed store accepts
/// none before a retry, since they were queued before the subscriber learned of the failure.
pub fn writable_records(batch: Vec<QueuedRecord>, store_is_open: bool) -> Vec<Persist> {
    let is_skipped = |queued: &QueuedRecord| !store_is_open && !queued.is_retry;
    batch.into_iter().skip_while(is_skipped).map(|queued| queued.record).collect()
}
