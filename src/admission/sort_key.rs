//! A floating-point number with a total order, for use as a key of indexes.

use std::cmp::Ordering;

/// A time or a size by which an index is ordered.
///
/// # Invariants
/// No key is minus zero, so that keys of equal numbers are equal.
#[derive(Clone, Copy, Debug)]
pub(super) struct SortKey(f64);

impl SortKey {
    /// Creates the key of a number.
    pub(super) fn new(number: f64) -> SortKey {
        // Adding 0.0 turns minus zero into plus zero and leaves every other number unchanged.
        SortKey(number + 0.0)
    }

    /// Returns the number of the key.
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
