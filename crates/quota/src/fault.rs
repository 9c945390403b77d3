//! Deliberate faults that let tests prove that they detect a missing safety check.

/// A safety check to disable. It has an effect only with the `test-faults` feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// All safety checks are enabled.
    #[default]
    None,
    /// Disables the limit of grants to the held shares: the allocator grants from the whole pool.
    NoShareLimit,
    /// Disables the counting of a larger earlier grant that a lost reply leaves in use: the allocator counts
    /// only the newest grant.
    NoEarlierGrantCount,
    /// Disables the commitment to one allocator at a time: the holder commits its share to every allocator
    /// that answers.
    NoExclusiveCommitment,
    /// Disables lease expiry: the holder keeps the units of its newest lease forever.
    NoLeaseExpiry,
}

impl Fault {
    /// Returns whether `self` is `fault` and in effect. Always false without the `test-faults` feature.
    pub(crate) fn is(self, fault: Fault) -> bool {
        cfg!(feature = "test-faults") && self == fault
    }
}
