//! When a subscriber's state is written to disk: decisions without I/O and clock. One half runs in the subscriber, which
//! hands records over, and the other in the thread that owns the store.
//!
//! # Invariants
//! - After a failure nothing is written before [`RETRY_MS`] have passed since the subscriber learned of it, and then the
//!   whole state first.
//! - A record is written only behind all records before it, or behind a whole state that holds them.

use crate::resource::Millis;
use crate::size::transaction_bytes;
use crate::subscriber::{Persist, PersistedState};

/// After a failure the disk is tried again this much later, ms.
pub const RETRY_MS: Millis = 30_000;
/// After so many transactions, or bytes of them, the whole state takes their place.
const MAX_APPENDED: u64 = 4096;
const MAX_APPENDED_BYTES: usize = 16 << 20;

/// A record on its way to the thread that owns the store.
#[derive(Clone, Debug)]
pub struct QueuedRecord {
    /// What is to be kept.
    pub record: Persist,
    /// Whether a store that failed is opened anew for it. Then it is a whole state.
    pub is_retry: bool,
}

/// Whether the whole state has to be written before any further transaction.
#[derive(Clone, Copy, Debug, Default)]
enum WholeState {
    #[default]
    NotDue,
    /// Records were left out, or there are many since the last whole state.
    Due,
    /// The disk failed.
    DueAfterFailure { not_before: Millis },
}

/// The subscriber's half: which records are handed over.
#[derive(Debug, Default)]
pub struct WriteSchedule {
    whole_state: WholeState,
    /// Transactions since the last whole state.
    appended: u64,
    /// Bytes of them.
    appended_bytes: usize,
}

impl WriteSchedule {
    /// Returns what to hand over for the subscriber's next record; `None` if a whole state will take its place.
    pub fn next(&mut self, record: Persist) -> Option<QueuedRecord> {
        match (&record, self.whole_state) {
            (_, WholeState::DueAfterFailure { .. }) | (Persist::Append { .. }, WholeState::Due) => {
                return None;
            }
            (Persist::Replace(_), _) => self.begin_anew(),
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

    /// Takes note that a record could not be handed over, because too many wait.
    pub fn on_not_queued(&mut self, record: &QueuedRecord) {
        self.whole_state =
            if record.is_retry { WholeState::DueAfterFailure { not_before: 0 } } else { WholeState::Due };
    }

    /// Takes note that the disk failed.
    pub fn on_failure(&mut self, now: Millis) {
        self.whole_state = WholeState::DueAfterFailure { not_before: now + RETRY_MS };
    }

    /// Returns whether the whole state is to be handed over now.
    pub fn is_whole_state_due(&self, now: Millis) -> bool {
        match self.whole_state {
            WholeState::NotDue => false,
            WholeState::Due => true,
            WholeState::DueAfterFailure { not_before } => now >= not_before,
        }
    }

    /// Returns what to hand over for the whole state once it is due.
    pub fn whole_state(&mut self, state: PersistedState) -> QueuedRecord {
        let is_retry = matches!(self.whole_state, WholeState::DueAfterFailure { .. });
        self.begin_anew();
        QueuedRecord { record: Persist::Replace(state), is_retry }
    }

    fn begin_anew(&mut self) {
        *self = WriteSchedule::default();
    }
}

/// The thread's half: returns the records of a batch that are written. A store that failed takes none before a retry:
/// those were handed over before the subscriber learned of the failure.
pub fn writable_records(batch: Vec<QueuedRecord>, store_is_open: bool) -> Vec<Persist> {
    let is_left_out = |queued: &QueuedRecord| !store_is_open && !queued.is_retry;
    batch.into_iter().skip_while(is_left_out).map(|queued| queued.record).collect()
}
