//! [`Holder`]: what one member may use of a fleet-wide budget.

use crate::config::{Config, Millis};
use crate::fault::Fault;
use crate::messages::{Grant, LeaseRequest};

/// A request that was sent and not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest<M> {
    sequence: u64,
    to: M,
    sent_at: Millis,
}

/// The promise of this member's share to one allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Commitment<M> {
    allocator: M,
    /// Until when, by this member's clock.
    until: Millis,
    /// The request whose grant committed the share.
    sequence: u64,
}

/// One member's side of a fleet-wide limit: its guaranteed minimum, the units of its newest lease while the lease holds
/// by its own clock, and the allocator to which its share is committed. `M` names allocators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder<M> {
    config: Config,
    members: usize,
    last_sequence: u64,
    pending: Option<PendingRequest<M>>,
    /// The units of the newest lease, and when it ends.
    leased: u64,
    lease_end: Millis,
    commitment: Option<Commitment<M>>,
    /// The share is committed to nobody before then: what was promised before a restart is not known.
    commit_from: Millis,
}

impl<M: Clone + PartialEq> Holder<M> {
    /// Returns a holder that knows of `members` members (itself included) and holds no lease, started at `now`. Its
    /// share may have been committed before a restart, so it commits it to nobody for two leases.
    pub fn new(config: Config, members: usize, now: Millis) -> Self {
        let commit_from = now + 2 * config.lease_ms;
        Self {
            config,
            members: members.max(1),
            last_sequence: 0,
            pending: None,
            leased: 0,
            lease_end: 0,
            commitment: None,
            commit_from,
        }
    }

    /// Returns a holder that never committed its share before (the first start of this member, as its own disk says):
    /// it may commit it at once.
    pub fn first_start(config: Config, members: usize) -> Self {
        Self { commit_from: 0, ..Self::new(config, members, 0) }
    }

    /// Sets the number of members in this holder's view; the guaranteed minimum follows it.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Returns the request to send now to allocator `to`. The answer to an earlier request is ignored from now on.
    pub fn request(&mut self, now: Millis, to: &M, wanted: u64) -> LeaseRequest {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending = Some(PendingRequest { sequence, to: to.clone(), sent_at: now });
        let commitment = self.commitment.as_ref().filter(|held| held.allocator == *to && now < held.until);
        LeaseRequest { sequence, wanted, acknowledged: commitment.map(|held| held.sequence) }
    }

    /// Takes a grant from `from`, received now, and returns whether it answered the pending request.
    ///
    /// The lease holds from when its request was sent, less the margin for drift, so that it ends here before it ends at
    /// the allocator, which counts from when the request arrived. The share is committed to `from` for two leases from
    /// now, unless it is still another's or this holder started less than two leases ago; the next request says so.
    pub fn on_grant(&mut self, now: Millis, from: &M, grant: Grant) -> bool {
        let answered =
            |pending: &mut PendingRequest<M>| pending.sequence == grant.sequence && pending.to == *from;
        let Some(request) = self.pending.take_if(answered) else { return false };
        self.leased = grant.units;
        self.lease_end = request.sent_at + self.config.drift_adjusted_lease_ms();
        if self.may_commit_to(now, from) || self.config.fault.is(Fault::NoExclusiveCommitment) {
            self.commitment = Some(Commitment {
                allocator: from.clone(),
                until: now + 2 * self.config.lease_ms,
                sequence: grant.sequence,
            });
        }
        true
    }

    /// Returns what this member may use without a lease.
    pub fn guaranteed_minimum(&self) -> u64 {
        self.config.guaranteed_minimum(self.members)
    }

    /// Returns the units of the lease, 0 once it has ended.
    pub fn leased(&self, now: Millis) -> u64 {
        let holds = now < self.lease_end || self.config.fault.is(Fault::NoLeaseExpiry);
        if holds { self.leased } else { 0 }
    }

    /// Returns when the lease ends by this member's clock; 0 when none was ever held.
    pub fn lease_end(&self) -> Millis {
        self.lease_end
    }

    /// Returns the allocator to which this member's share is committed now, if any.
    pub fn committed_to(&self, now: Millis) -> Option<&M> {
        self.commitment.as_ref().filter(|held| now < held.until).map(|held| &held.allocator)
    }

    /// Returns the units that this member may use now.
    pub fn allowed(&self, now: Millis) -> u64 {
        self.guaranteed_minimum() + self.leased(now)
    }

    fn may_commit_to(&self, now: Millis, allocator: &M) -> bool {
        let is_free = match &self.commitment {
            Some(held) => held.allocator == *allocator || held.until <= now,
            None => true,
        };
        now >= self.commit_from && is_free
    }
}
