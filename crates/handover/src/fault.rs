//! Fault injection for tests that have to prove that they detect a protocol error.

/// A check of the protocol that is disabled on purpose.
///
/// Values other than [`Fault::None`] have an effect only with the `test-faults` feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No check is disabled.
    #[default]
    None,
    /// The successor takes ownership of the keys once it has sent `Loaded`, without waiting for `Commit`.
    OwnerBeforeCommit,
    /// The predecessor commits before it sends the snapshot, and the successor accepts a commit before the
    /// end of the snapshot.
    CommitBeforeSnapshotEnd,
}

impl Fault {
    /// Returns whether `self` is `fault` and is in effect. Always false without the `test-faults` feature.
    pub(crate) fn is(self, fault: Fault) -> bool {
        cfg!(feature = "test-faults") && self == fault
    }
}
