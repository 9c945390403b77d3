//! Deliberate faults, for tests that have to show that they would notice.

/// A guard that is left out on purpose. Only with the `test-faults` feature; [`Fault::None`] otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Every guard is in place.
    #[default]
    None,
    /// The successor owns the keys once it has sent `Loaded`, without waiting for `Commit`.
    OwnerBeforeCommit,
    /// The predecessor commits before it sends the snapshot, and the successor accepts a commit before the end of the
    /// snapshot.
    CommitBeforeSnapshotEnd,
}

impl Fault {
    /// Returns whether `self` is `fault` and in force: never without the `test-faults` feature.
    pub(crate) fn is(self, fault: Fault) -> bool {
        cfg!(feature = "test-faults") && self == fault
    }
}
