//! Recently ended attempts that may arrive again: a client whose connection ended resends its request under
//! the same attempt number.

use std::collections::{HashSet, VecDeque};

/// Maximum number of attempts in a set. A client resends an attempt after a short time or not at all.
const MAX_ATTEMPTS: usize = 1024;

/// A bounded set of attempt numbers, from which the oldest is evicted.
#[derive(Default)]
pub(super) struct RecentAttempts {
    attempts: HashSet<u64>,
    /// The attempts in insertion order, oldest first.
    order: VecDeque<u64>,
}

impl RecentAttempts {
    /// Adds an attempt, and evicts the oldest one if the set is full.
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

    /// Removes all attempts.
    pub(super) fn clear(&mut self) {
        self.attempts.clear();
        self.order.clear();
    }

    /// Returns whether the set contains the attempt.
    pub(super) fn contains(&self, attempt: u64) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Removes an attempt that arrived again, and returns whether the set contained it.
    pub(super) fn take(&mut self, attempt: u64) -> bool {
        let was_contained = self.attempts.remove(&attempt);
        if was_contained {
            self.order.retain(|other| *other != attempt);
        }
        was_contained
    }
}
