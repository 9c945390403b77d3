//! What one member adds to an allocator's totals.

use crate::config::Millis;
use std::hash::{Hash, Hasher};

/// What one member adds to the totals at one time.
///
/// It follows from the member and the time of the totals, and is no part of the member's state: all are equal.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contribution {
    /// Units counted as granted to the member.
    pub granted: u64,
    /// Whether its share stays in the pool for a whole lease more.
    pub shares: bool,
    /// What it wants, if it takes part in the division of the pool.
    pub demand: Option<u64>,
    /// When this changes by time alone, if ever.
    pub due: Option<Millis>,
}

impl PartialEq for Contribution {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Contribution {}

impl Hash for Contribution {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
