//! Attempts that are over here and may come again: a client whose connection ended sends its request again under the same number.

use std::collections::{HashSet, VecDeque};

/// Attempts that are kept. A client sends an attempt again within a moment, or not at all.
const MAX_ATTEMPTS: usize = 1024;

/// The latest attempts of a kind.
#[derive(Default)]
pub(super) struct RecentAttempts {
    attempts: HashSet<u64>,
    /// The same attempts, oldest first.
    order: VecDeque<u64>,
}

impl RecentAttempts {
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

    /// Forgets all attempts.
    pub(super) fn clear(&mut self) {
        self.attempts.clear();
        self.order.clear();
    }

    /// Returns whether the attempt is one of them.
    pub(super) fn contains(&self, attempt: u64) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Removes an attempt that came again, and returns whether it was one of them.
    pub(super) fn take(&mut self, attempt: u64) -> bool {
        let was_kept = self.attempts.remove(&attempt);
        if was_kept {
            self.order.retain(|kept| *kept != attempt);
        }
        was_kept
    }
}
