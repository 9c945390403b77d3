//! [`Allocator`]: one member's view of the fleet, and the grants it makes when it is the allocator.

use crate::config::{Config, Millis};
use crate::demands::Demand;
use crate::fault::Fault;
use crate::member::Member;
use crate::messages::{Grant, LeaseRequest, Liveness, Refusal};
use crate::totals::Totals;
use std::collections::{BTreeMap, BTreeSet};

/// One member's view of the fleet, and the pool it grants from when it is the allocator.
///
/// Every member runs an `Allocator` and updates it with its view of the fleet. A member whose name is the
/// lowest among the members that it sees alive grants leases; every other member refuses with
/// [`Refusal::NotAllocator`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocator<M> {
    config: Config,
    me: M,
    members: BTreeMap<M, Member>,
    /// Members that have left the view and whose grants are still counted.
    removed: BTreeSet<M>,
    totals: Totals<M>,
}

impl<M: Ord + Clone> Allocator<M> {
    /// Returns a view that holds only `me`, alive, with no share in its pool. `me` must be a new name at each
    /// start, because shares that were committed before a restart are unknown after it.
    pub fn new(config: Config, me: M) -> Self {
        let mut members = BTreeMap::new();
        let mut totals = Totals::new();
        let mut own = Member::alive();
        totals.refresh(&me, &mut own, &config);
        members.insert(me.clone(), own);
        Self { config, me, members, removed: BTreeSet::new(), totals }
    }

    /// Returns the settings of the limit.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Sets the liveness that the failure detector reports for `member`, and adds the member to the view if
    /// it is new.
    ///
    /// # Errors
    /// Returns [`Refusal::ViewFull`] if the member is new and the view already holds `max_members` members.
    pub fn update_member(&mut self, now: Millis, member: M, liveness: Liveness) -> Result<(), Refusal> {
        if member == self.me {
            return Ok(());
        }
        if !self.members.contains_key(&member) && self.members.len() >= self.config.max_members {
            return Err(Refusal::ViewFull);
        }
        let known = self.members.entry(member.clone()).or_insert_with(Member::alive);
        known.liveness = liveness;
        known.removed = false;
        self.totals.refresh(&member, known, &self.config);
        self.removed.remove(&member);
        self.expire(now);
        Ok(())
    }

    /// Removes `member` from the view permanently. Its guaranteed minimum is redistributed to the other
    /// members; its grants stay counted until their leases end.
    pub fn remove_member(&mut self, now: Millis, member: &M) {
        if *member == self.me {
            return;
        }
        if let Some(known) = self.members.get_mut(member) {
            known.removed = true;
            known.liveness = Liveness::Down;
            self.totals.refresh(member, known, &self.config);
            self.removed.insert(member.clone());
        }
        self.expire(now);
    }

    /// Returns the number of members in the view, this one included.
    pub fn member_count(&self) -> usize {
        self.members.len() - self.removed.len()
    }

    /// Returns the number of members seen alive, this one included.
    pub fn alive_count(&self) -> usize {
        self.members.values().filter(|member| member.is_alive()).count()
    }

    /// Returns the allocator according to this view: the member with the lowest name among those alive.
    pub fn allocator(&self) -> &M {
        let alive = self.members.iter().find(|(_, member)| member.is_alive());
        alive.map(|(name, _)| name).unwrap_or(&self.me)
    }

    /// Returns whether this member is currently the allocator.
    pub fn is_allocator(&self) -> bool {
        *self.allocator() == self.me
    }

    /// Returns the units that each member of this view may use without a lease.
    pub fn guaranteed_minimum(&self) -> u64 {
        self.config.guaranteed_minimum(self.member_count())
    }

    /// Returns the number of shares that are committed to this allocator for at least a whole lease from
    /// `now`. Shares with less time left are excluded because a grant made now is counted for a whole lease,
    /// and must not outlive the shares it was made from.
    pub fn held_shares(&self, now: Millis) -> usize {
        self.members.values().filter(|member| member.has_share_for_a_lease(now, &self.config)).count()
    }

    /// Returns the part of the pool that this allocator may grant: one share of each member that committed
    /// it.
    pub fn grantable_pool(&self, now: Millis) -> u64 {
        self.pool_of(self.held_shares(now))
    }

    /// Returns the granted units that may still be in use, summed over all members.
    pub fn outstanding(&self, now: Millis) -> u64 {
        self.members.values().map(|member| member.granted(now)).sum()
    }

    /// Returns the units counted as granted to `member` at `now`: its newest grant, or a larger earlier grant
    /// that the member may still hold.
    pub fn granted_to(&self, now: Millis, member: &M) -> u64 {
        self.members.get(member).map_or(0, |member| member.granted(now))
    }

    /// Answers a request from `from` that arrived at `now`. The grant counts as sent at `now`.
    ///
    /// # Errors
    /// Returns [`Refusal::NotAllocator`] if this member is not the allocator, [`Refusal::NotAlive`] if the
    /// requester is not alive in this view, and [`Refusal::Stale`] if a newer request of the same holder
    /// arrived earlier.
    pub fn on_request(&mut self, now: Millis, from: &M, request: LeaseRequest) -> Result<Grant, Refusal> {
        self.expire(now);
        self.totals.advance(now, &mut self.members, &self.config);
        let is_allocator = self.is_allocator();
        let granted = self.record_request(now, from, request)?;
        if !is_allocator {
            return Err(Refusal::NotAllocator);
        }
        let pool = self.pool_of(self.totals.shares);
        let demand = Demand { units: request.wanted, name: from.clone() };
        // The requester has no entry among the demands only if the lease length is 0.
        let fair_share = self.totals.demands.fair_share(&demand, pool).unwrap_or(request.wanted.min(pool));
        let granted_to_others = self.totals.granted - granted;
        let units = fair_share.min(pool.saturating_sub(granted_to_others));
        if let Some(requester) = self.members.get_mut(from) {
            requester.record_grant(now, request.sequence, units, now + self.config.lease_ms);
            self.totals.refresh(from, requester, &self.config);
        }
        Ok(Grant { sequence: request.sequence, units })
    }

    /// Records a request, and returns the units currently counted as granted to the requester.
    fn record_request(&mut self, now: Millis, from: &M, request: LeaseRequest) -> Result<u64, Refusal> {
        let requester = self.members.get_mut(from).filter(|member| member.is_alive());
        let requester = requester.ok_or(Refusal::NotAlive)?;
        if request.sequence <= requester.last_sequence {
            return Err(Refusal::Stale);
        }
        requester.record_request(now, request.sequence, request.wanted);
        if let Some(sent_at) = request.acknowledged.and_then(|sequence| requester.grant_sent_at(sequence)) {
            // The holder keeps its share committed to this allocator until two leases after the grant
            // arrived.
            let share_until = sent_at + 2 * self.config.drift_adjusted_lease_ms();
            requester.share_until = requester.share_until.max(share_until);
        }
        self.totals.refresh(from, requester, &self.config);
        Ok(requester.contribution.granted)
    }

    /// Returns the part of the pool that `shares` shares amount to.
    fn pool_of(&self, shares: usize) -> u64 {
        let members = self.member_count();
        let pool = self.config.pool(members);
        if self.config.fault.is(Fault::NoShareLimit) {
            return pool;
        }
        (u128::from(pool) * shares as u128 / members.max(1) as u128) as u64
    }

    /// Drops removed members whose grants have all ended.
    fn expire(&mut self, now: Millis) {
        let Self { members, removed, totals, .. } = self;
        removed.retain(|name| {
            let Some(member) = members.get_mut(name) else { return false };
            let is_held = member.granted(now) > 0;
            if !is_held {
                totals.remove(name, member);
                members.remove(name);
            }
            is_held
        });
    }
}
