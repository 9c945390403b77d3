//! Messages between holders and allocators, and the liveness that a failure detector reports to an allocator.

/// The liveness of a member as reported by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// The member answers probes.
    Alive,
    /// The member has not answered recent probes. It may be partitioned and still serve its guaranteed
    /// minimum.
    Suspect,
    /// The member was declared down. It may still be serving if it is only partitioned, so its guaranteed
    /// minimum stays reserved until the member is removed from the view.
    Down,
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseRequest {
    /// Sequence number that increases with each request of one holder. The grant echoes it.
    pub sequence: u64,
    /// Units above its guaranteed minimum that the holder could use now.
    pub wanted: u64,
    /// Sequence number of the request whose grant committed the holder's share to this allocator, if there is
    /// such a commitment. The allocator counts the share as its own until two drift-adjusted leases after it
    /// sent that grant.
    pub acknowledged: Option<u64>,
}

/// A lease, valid for the configured duration from the time the holder sent its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant {
    /// Sequence number of the request that this grant answers.
    pub sequence: u64,
    /// Units granted above the guaranteed minimum.
    pub units: u64,
}

/// The reason why a request was not granted. The holder keeps its current lease until that ends, and then
/// falls back to its guaranteed minimum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This member does not grant leases, because it sees another member alive with a lower name.
    #[error("not the allocator")]
    NotAllocator,
    /// The requester is missing from this view or not alive in it.
    #[error("requester is not alive in this view")]
    NotAlive,
    /// The view already holds `max_members` members.
    #[error("view is full")]
    ViewFull,
    /// A newer request of the same holder arrived earlier. This request was delayed, and its holder no longer
    /// waits for the answer.
    #[error("request overtaken by a newer one")]
    Stale,
}
