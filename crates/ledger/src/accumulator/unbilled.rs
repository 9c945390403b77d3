//! The count of requests that fit in no line.

use crate::line::Unbilled;

/// Requests that fit in no line: those that no unbilled line counts yet, and all since the start.
#[derive(Debug, Default)]
pub(super) struct UnbilledRequests {
    /// Not yet in an unbilled line.
    pending: u64,
    /// When the first of those was counted, Unix ms.
    since_ms: u64,
    total: u64,
}

impl UnbilledRequests {
    /// Counts requests at the ledger's time.
    pub(super) fn count(&mut self, time_ms: u64, requests: u64) {
        if self.pending == 0 {
            self.since_ms = time_ms;
        }
        self.pending += requests;
        self.total += requests;
    }

    /// Returns the requests that no unbilled line counts yet.
    pub(super) fn pending(&self) -> u64 {
        self.pending
    }

    /// Returns all requests counted since the start.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the content of the line that counts what is pending, if anything is; nothing is pending afterwards.
    pub(super) fn take(&mut self, time_ms: u64) -> Option<Unbilled> {
        if self.pending == 0 {
            return None;
        }
        Some(Unbilled {
            requests: std::mem::take(&mut self.pending),
            at_most: 0,
            unbounded: false,
            from_ms: self.since_ms,
            to_ms: time_ms,
            reason: "the disk did not take lines, and the server served on".to_owned(),
        })
    }
}
