//! [`Holder`]: the part of a fleet-wide budget that one member may use.

use crate::config::{Config, Millis};
use crate::fault::Fault;
use crate::messages::{Grant, LeaseRequest};

/// A request that was sent and has not been answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest<M> {
    sequence: u64,
    to: M,
    sent_at: Millis,
}

/// The commitment of this member's share to one allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Commitment<M> {
    allocator: M,
    /// The time at which the commitment ends, by this member's clock.
    until: Millis,
    /// The sequence number of the request whose grant committed the share.
    sequence: u64,
}

/// One member's side of a fleet-wide limit: its guaranteed minimum, the units of its newest lease while that
/// lease is valid by the member's own clock, and the allocator to which its share is committed. `M` is the
/// type of allocator names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder<M> {
    config: Config,
    members: usize,
    last_sequence: u64,
    pending: Option<PendingRequest<M>>,
    /// The units of the newest lease.
    leased: u64,
    /// The time at which the newest lease ends, by this member's clock.
    lease_end: Millis,
    commitment: Option<Commitment<M>>,
    /// The earliest time at which the share may be committed: a commitment made before a restart is not
    /// known.
    commit_from: Millis,
}

impl<M: Clone + PartialEq> Holder<M> {
    /// Returns a holder that started at `now`, knows of `members` members (itself included) and holds no
    /// lease. Its share may have been committed before a restart, so the holder does not commit it for two
    /// leases.
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

    /// Returns a holder that has never committed its share and may do so at once. The caller knows from its
    /// own disk that this is the first start of the member.
    pub fn first_start(config: Config, members: usize) -> Self {
        Self { commit_from: 0, ..Self::new(config, members, 0) }
    }

    /// Sets the number of members in this holder's view, which determines the guaranteed minimum.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Returns the request to send at `now` to allocator `to`. Answers to earlier requests are ignored from
    /// then on.
    pub fn request(&mut self, now: Millis, to: &M, wanted: u64) -> LeaseRequest {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending = Some(PendingRequest { sequence, to: to.clone(), sent_at: now });
        let commitment = self
            .commitment
            .as_ref()
            .filter(|commitment| commitment.allocator == *to && now < commitment.until);
        LeaseRequest { sequence, wanted, acknowledged: commitment.map(|commitment| commitment.sequence) }
    }

    /// Applies a grant that was received from `from` at `now`, and returns whether it answered the pending
    /// request.
    ///
    /// The lease is valid from the time its request was sent, less the margin for clock drift. So it ends
    /// here before it ends at the allocator, which counts from the arrival of the request. The share is
    /// committed to `from` for two leases from `now`, unless it is still committed to another allocator or
    /// this holder started less than two leases ago. The next request acknowledges the commitment.
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

    /// Returns the units that this member may use without a lease.
    pub fn guaranteed_minimum(&self) -> u64 {
        self.config.guaranteed_minimum(self.members)
    }

    /// Returns the units of the newest lease, or 0 once it has ended.
    pub fn leased(&self, now: Millis) -> u64 {
        let is_valid = now < self.lease_end || self.config.fault.is(Fault::NoLeaseExpiry);
        if is_valid { self.leased } else { 0 }
    }

    /// Returns the time at which the newest lease ends, by this member's clock, or 0 if there never was a
    /// lease.
    pub fn lease_end(&self) -> Millis {
        self.lease_end
    }

    /// Returns the allocator to which this member's share is committed at `now`, if any.
    pub fn committed_to(&self, now: Millis) -> Option<&M> {
        self.commitment
            .as_ref()
            .filter(|commitment| now < commitment.until)
            .map(|commitment| &commitment.allocator)
    }

    /// Returns the units that this member may use at `now`.
    pub fn allowed(&self, now: Millis) -> u64 {
        self.guaranteed_minimum() + self.leased(now)
    }

    fn may_commit_to(&self, now: Millis, allocator: &M) -> bool {
        let is_free = match &self.commitment {
            Some(commitment) => commitment.allocator == *allocator || commitment.until <= now,
            None => true,
        };
        now >= self.commit_from && is_free
    }
}
