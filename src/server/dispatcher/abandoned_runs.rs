//! Runs that were paused and whose clients are gone: the worker pool keeps them, and starts none of the same attempt.

use std::collections::{HashSet, VecDeque};

/// Attempts that are kept. A client sends an attempt again within a moment, or not at all.
const MAX_ATTEMPTS: usize = 1024;

/// The attempts whose runs the worker pool keeps paused for nobody, the latest of them.
#[derive(Default)]
pub(super) struct AbandonedRuns {
    attempts: HashSet<u64>,
    /// The same attempts, oldest first.
    order: VecDeque<u64>,
}

impl AbandonedRuns {
    /// Adds an attempt; the oldest one is forgotten if there are too many.
    pub(super) fn add(&mut self, attempt: u64) {
        if !self.attempts.insert(attempt) {
            return;
        }
        self.order.push_back(attempt);
        if self.order.len() > MAX_ATTEMPTS {
            if let Some(oldest) = self.order.pop_front() {
                self.attempts.remove(&oldest);
            }
        }
    }

    /// Forgets all attempts, as the worker pool has.
    pub(super) fn clear(&mut self) {
        self.attempts.clear();
        self.order.clear();
    }

    /// Removes an attempt that came again, and returns whether its run is paused in the worker pool.
    pub(super) fn take(&mut self, attempt: u64) -> bool {
        let was_kept = self.attempts.remove(&attempt);
        if was_kept {
            self.order.retain(|kept| *kept != attempt);
        }
        was_kept
    }
}
