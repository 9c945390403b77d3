//! A number in an order that all numbers have, as indexes need it.

use std::cmp::Ordering;

/// A time or a size that indexes are ordered by.
///
/// # Invariants
/// No key is minus zero, so that keys are equal where their numbers are.
#[derive(Clone, Copy, Debug)]
pub(super) struct SortKey(f64);

impl SortKey {
    /// Returns the key of a number.
    pub(super) fn new(number: f64) -> SortKey {
        // The sum of the two zeros is plus zero; every other number stays as it is.
        SortKey(number + 0.0)
    }

    /// Returns the number.
    pub(super) fn number(self) -> f64 {
        self.0
    }
}

impl Ord for SortKey {
    fn cmp(&self, other: &SortKey) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for SortKey {
    fn partial_cmp(&self, other: &SortKey) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for SortKey {}

impl PartialEq for SortKey {
    fn eq(&self, other: &SortKey) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
