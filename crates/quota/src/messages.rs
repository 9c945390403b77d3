//! What holders and allocators tell each other, and what the failure detector tells an allocator.

/// What the failure detector states of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// Answers.
    Alive,
    /// Has not answered lately. It may be cut off and still serve its guaranteed minimum.
    Suspect,
    /// Declared down. It may still serve if it was only cut off, so its guaranteed minimum is kept for it until it is
    /// removed from the view.
    Down,
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseRequest {
    /// Grows with each request of one holder; the grant echoes it.
    pub sequence: u64,
    /// Units above its guaranteed minimum that the holder would use now.
    pub wanted: u64,
    /// The request whose grant committed the holder's share to this allocator, when it did: the allocator counts the
    /// share as its own until two drift-adjusted leases after it sent that grant.
    pub acknowledged: Option<u64>,
}

/// A lease, good for the configured time from the holder's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant {
    /// The request that this answers.
    pub sequence: u64,
    /// Units above the guaranteed minimum.
    pub units: u64,
}

/// Why a request got no grant. The holder keeps its lease until it ends, and then its guaranteed minimum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This member does not grant leases: another one that it sees alive has a lesser name.
    #[error("not the allocator")]
    NotAllocator,
    /// The requester is not in this view, or is not alive in it.
    #[error("requester is not alive in this view")]
    NotAlive,
    /// The view holds `max_members` already.
    #[error("view is full")]
    ViewFull,
    /// A newer request of the same holder came first: this one was delayed, and its holder no longer waits for the
    /// answer.
    #[error("request overtaken by a newer one")]
    Stale,
}
