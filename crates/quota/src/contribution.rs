//! [`Contribution`]: the part of an allocator's totals that comes from one member.

use crate::config::Millis;
use std::hash::{Hash, Hasher};

/// One member's part of the totals at one point in time.
///
/// The contribution is derived from the member and the time of the totals and is not part of the member's
/// state, so any two contributions compare equal.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contribution {
    /// Units counted as granted to the member.
    pub granted: u64,
    /// Whether the member's share stays in the pool for at least another whole lease.
    pub has_share: bool,
    /// Units that the member wants, if it takes part in the division of the pool.
    pub demand: Option<u64>,
    /// The next time at which the contribution changes by the passage of time alone, if any.
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
