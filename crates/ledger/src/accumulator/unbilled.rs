//! Count of the requests whose usage could not be recorded in any line.

use crate::line::Unbilled;

/// Counts of requests whose usage could not be recorded in any line.
#[derive(Debug, Default)]
pub(super) struct UnbilledRequests {
    /// Number of requests that are not counted in an unbilled line yet.
    pending: u64,
    /// Ledger time at which the first pending request was counted, in Unix ms.
    since_ms: u64,
    /// Number of requests since startup.
    total: u64,
}

impl UnbilledRequests {
    /// Adds requests at this ledger time, in Unix ms.
    pub(super) fn count(&mut self, time_ms: u64, requests: u64) {
        if self.pending == 0 {
            self.since_ms = time_ms;
        }
        self.pending += requests;
        self.total += requests;
    }

    /// Returns the number of requests that are not counted in an unbilled line yet.
    pub(super) fn pending(&self) -> u64 {
        self.pending
    }

    /// Returns the number of requests counted since startup.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the content of an unbilled line for the pending requests, and resets their count; `None` if no
    /// requests are pending.
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
