//! Deliberate faults, for tests that have to show that they would notice.

/// A guard that is left out on purpose. Only with the `test-faults` feature; [`Fault::None`] otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Every guard is in place.
    #[default]
    None,
    /// Without the limit of grants to the shares held: the allocator grants from the whole pool.
    NoShareLimit,
    /// Without counting a larger earlier grant that a lost reply leaves in use: the allocator counts the newest alone.
    NoEarlierGrantCount,
    /// Without the commitment to one allocator at a time: the holder commits its share to every one that answers.
    NoExclusiveCommitment,
    /// Without the end of a lease: the holder keeps the units of its newest lease.
    NoLeaseExpiry,
}

impl Fault {
    /// Returns whether `self` is `fault` and in force: never without the `test-faults` feature.
    pub(crate) fn is(self, fault: Fault) -> bool {
        cfg!(feature = "test-faults") && self == fault
    }
}
