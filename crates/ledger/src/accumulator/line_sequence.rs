//! The sequence of lines created so far: the resulting ledger state and the records that are not durable yet.

use super::record_queue::{OnDurable, RecordQueue};
use crate::line::{Line, LineError, LineKind};
use crate::state::LedgerState;
use prost::Message;

/// The part of a ledger's history that is needed to append further lines.
///
/// # Invariants
/// `state` is the result of applying all lines with numbers below the queue's next record number.
#[derive(Debug)]
pub(super) struct LineSequence {
    pub(super) state: LedgerState,
    pub(super) queue: RecordQueue,
}

impl LineSequence {
    /// Returns the ledger's time in Unix ms: the clock's time, but never earlier than the time of an existing
    /// line.
    pub(super) fn time(&self, now_ms: u64) -> u64 {
        now_ms.max(self.state.latest_ms)
    }

    /// Returns the start of the period that is open at the current time, in Unix ms.
    pub(super) fn open_period(&self, now_ms: u64) -> u64 {
        self.state.open_period(self.time(now_ms))
    }

    /// Checks a line that was not created by the accumulator against the existing lines.
    ///
    /// # Errors
    /// Returns a [`LineError`] if the line contradicts existing lines, or if its encoding would not be
    /// accepted when the ledger is read.
    pub(super) fn check(&self, now_ms: u64, kind: &LineKind) -> Result<(), LineError> {
        let line = Line { at_ms: self.time(now_ms), kind: Some(kind.clone()) };
        self.state.clone().apply(self.queue.next_number(), &line)?;
        Line::parse(&line.encode_to_vec()).map(drop)
    }

    /// Creates a line with this content and appends its record to the queue.
    ///
    /// # Panics
    /// Panics if the line contradicts existing lines. This is a bug in this crate, because lines that were
    /// not created by the accumulator are checked first.
    pub(super) fn append_record(
        &mut self,
        now_ms: u64,
        kind: LineKind,
        requests: u64,
        on_durable: OnDurable,
    ) {
        let line = Line { at_ms: self.time(now_ms), kind: Some(kind) };
        let applied = self.state.apply(self.queue.next_number(), &line);
        assert!(applied.is_ok(), "a new line contradicts the ledger: {applied:?}, {line:?}");
        self.queue.push(line.encode_to_vec(), requests, on_durable);
    }
}
