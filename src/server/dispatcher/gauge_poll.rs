//! Tracking of the reading of the worker pool's gauges that a timer waits for.

/// A timer that waits for a reading of the gauges.
struct PendingTimer {
    /// Tag of the reading.
    tag: u64,
    /// Token of the timer.
    token: u64,
}

/// Matches readings of the gauges to the timers that wait for them.
///
/// # Invariants
/// At most one timer waits, and the token of each timer is returned exactly once.
#[derive(Default)]
pub(super) struct GaugePoll {
    last_tag: u64,
    pending: Option<PendingTimer>,
}

impl GaugePoll {
    /// Starts the wait of a timer for a new reading, and returns the tag of the reading.
    pub(super) fn begin(&mut self, token: u64) -> u64 {
        self.last_tag += 1;
        self.pending = Some(PendingTimer { tag: self.last_tag, token });
        self.last_tag
    }

    /// Ends the wait for the reading with this tag, and returns the token of its timer if it is still
    /// waiting.
    pub(super) fn complete(&mut self, tag: u64) -> Option<u64> {
        self.pending.take_if(|pending| pending.tag == tag).map(|pending| pending.token)
    }

    /// Ends the wait for any reading, and returns the token of the timer that was waiting, if any.
    pub(super) fn abandon(&mut self) -> Option<u64> {
        self.pending.take().map(|pending| pending.token)
    }
}
