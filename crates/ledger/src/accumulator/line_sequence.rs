//! The lines made so far: the state that they imply, and the records that are not durable yet.

use super::record_queue::{OnDurable, RecordQueue};
use crate::line::{Line, LineError, LineKind};
use crate::state::LedgerState;
use prost::Message;

/// The lines of a ledger, as far as the next one needs them.
///
/// # Invariants
/// `state` is the sum of all lines with numbers below that of the queue's next record.
#[derive(Debug)]
pub(super) struct LineSequence {
    pub(super) state: LedgerState,
    pub(super) queue: RecordQueue,
}

impl LineSequence {
    /// Returns the ledger's time, Unix ms: the clock's, but never before that of a line.
    pub(super) fn time(&self, now_ms: u64) -> u64 {
        now_ms.max(self.state.latest_ms)
    }

    /// Returns the period that is open now, by its first ms.
    pub(super) fn open_period(&self, now_ms: u64) -> u64 {
        self.state.open_period(self.time(now_ms))
    }

    /// Checks a line that others made against the lines before it.
    ///
    /// # Errors
    /// If it contradicts them, or could not be read again.
    pub(super) fn check(&self, now_ms: u64, kind: &LineKind) -> Result<(), LineError> {
        let line = Line { at_ms: self.time(now_ms), kind: Some(kind.clone()) };
        self.state.clone().apply(self.queue.next_number(), &line)?;
        Line::parse(&line.encode_to_vec()).map(drop)
    }

    /// Appends a record of the line that holds this.
    ///
    /// # Panics
    /// If the line contradicts those before it, which is an error of this crate: lines of others are checked before.
    pub(super) fn append_record(
        &mut self,
        now_ms: u64,
        kind: LineKind,
        requests: u64,
        on_durable: OnDurable,
    ) {
        let line = Line { at_ms: self.time(now_ms), kind: Some(kind) };
        let applied = self.state.apply(self.queue.next_number(), &line);
        assert!(applied.is_ok(), "a line that contradicts the ledger was made: {applied:?}, {line:?}");
        self.queue.push(line.encode_to_vec(), requests, on_durable);
    }
}
