//! The reference computation of grants: it iterates over all members and sorts them for each request.
//!
//! It deliberately duplicates the computation of the crate, without the running totals and sorted demands, so
//! that the test can compare the two grant by grant. They must not share code, because shared code would be
//! compared with itself.

use std::collections::BTreeMap;

use dunlinspread_quota::{Config, Fault, Grant, LeaseRequest, Liveness, Millis, Refusal};

/// Replacement for `Fault::is`, which is private to the crate. Tests always have the faults compiled in.
fn is(fault: Fault, other: Fault) -> bool {
    fault == other
}

/// Number of grants to one member that are remembered to match its acknowledgements.
const REMEMBERED_GRANTS: usize = 4;

/// Units granted to one member and counted until `until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct CountedGrant {
    units: u64,
    until: Millis,
}

impl CountedGrant {
    fn units_at(&self, now: Millis) -> u64 {
        if now < self.until { self.units } else { 0 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    liveness: Liveness,
    /// Whether the member has left the view. A removed member's grants are still counted until they end, but
    /// it is not counted as a member.
    removed: bool,
    wanted: u64,
    newest_grant: CountedGrant,
    /// The largest earlier grant that may still be in effect, because the reply that replaced it was lost. It
    /// ensures that no fewer units are counted than the holder may use.
    earlier_grant: CountedGrant,
    /// The newest grants sent, as pairs of sequence number and send time. An acknowledgement may name an
    /// earlier grant when the newest was delayed; remembering several keeps one late message from dropping
    /// the member's share.
    sent_grants: [(u64, Millis); REMEMBERED_GRANTS],
    /// The time until which the member's share is in this pool.
    share_until: Millis,
    /// Arrival time of the member's newest request.
    requested_at: Millis,
    /// Sequence number of the member's newest request.
    last_sequence: u64,
}

impl Member {
    fn granted(&self, now: Millis) -> u64 {
        self.newest_grant.units_at(now).max(self.earlier_grant.units_at(now))
    }

    fn granted_under(&self, now: Millis, fault: Fault) -> u64 {
        if is(fault, Fault::NoEarlierGrantCount) {
            self.newest_grant.units_at(now)
        } else {
            self.granted(now)
        }
    }

    /// Records a new grant. A previous grant that is larger and may still be held is kept as the earlier
    /// grant, with its own end. A later end would make the earlier grant outlive every grant that it
    /// represents.
    fn record_grant(&mut self, now: Millis, units: u64, until: Millis) {
        let mut earlier_grant = CountedGrant::default();
        for earlier in [self.newest_grant, self.earlier_grant] {
            if earlier.units_at(now) > units {
                earlier_grant = CountedGrant {
                    units: earlier_grant.units.max(earlier.units),
                    until: earlier_grant.until.max(earlier.until),
                };
            }
        }
        self.earlier_grant = earlier_grant;
        self.newest_grant = CountedGrant { units, until };
    }
}

/// One member's view of the fleet, and the pool it grants from when it is the allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocator<M> {
    config: Config,
    me: M,
    members: BTreeMap<M, Member>,
}

impl<M: Ord + Clone> Allocator<M> {
    /// Returns a view that holds only `me`, alive, with no share in its pool.
    pub fn new(config: Config, me: M) -> Self {
        let mut members = BTreeMap::new();
        members.insert(me.clone(), Member::alive());
        Self { config, me, members }
    }

    /// Sets the liveness that the failure detector reports for `member`.
    pub fn update_member(&mut self, now: Millis, member: M, liveness: Liveness) -> Result<(), Refusal> {
        if member == self.me {
            return Ok(());
        }
        match self.members.get_mut(&member) {
            Some(known) => {
                known.liveness = liveness;
                known.removed = false;
            }
            None => {
                if self.members.len() >= self.config.max_members {
                    return Err(Refusal::ViewFull);
                }
                let mut fresh = Member::alive();
                fresh.liveness = liveness;
                self.members.insert(member, fresh);
            }
        }
        self.expire(now);
        Ok(())
    }

    /// Removes `member` from the view permanently.
    pub fn remove_member(&mut self, now: Millis, member: &M) {
        if *member == self.me {
            return;
        }
        if let Some(known) = self.members.get_mut(member) {
            known.removed = true;
            known.liveness = Liveness::Down;
        }
        self.expire(now);
    }

    /// Returns the number of members in the view, this one included.
    pub fn member_count(&self) -> usize {
        self.members.values().filter(|m| !m.removed).count()
    }

    /// Returns the allocator according to this view: the member with the lowest name among those alive.
    pub fn allocator(&self) -> &M {
        self.members
            .iter()
            .find(|(_, m)| !m.removed && m.liveness == Liveness::Alive)
            .map(|(name, _)| name)
            .unwrap_or(&self.me)
    }

    /// Returns whether this member is currently the allocator.
    pub fn is_allocator(&self) -> bool {
        *self.allocator() == self.me
    }

    /// Returns the number of shares committed to this allocator for at least a whole lease from `now`.
    pub fn held_shares(&self, now: Millis) -> usize {
        let lease = self.config.lease_ms;
        self.members.values().filter(|m| !m.removed && m.share_until >= now + lease).count()
    }

    /// Returns the part of the pool that this allocator may grant.
    pub fn grantable_pool(&self, now: Millis) -> u64 {
        let members = self.member_count() as u128;
        if is(self.config.fault, Fault::NoShareLimit) {
            return self.config.pool(self.member_count());
        }
        (self.config.pool(self.member_count()) as u128 * self.held_shares(now) as u128 / members.max(1))
            as u64
    }

    /// Returns the granted units that may still be in use, summed over all members.
    pub fn outstanding(&self, now: Millis) -> u64 {
        self.members.values().map(|m| m.granted(now)).sum()
    }

    /// Returns the units counted as granted to `member` at `now`.
    pub fn granted_to(&self, now: Millis, member: &M) -> u64 {
        self.members.get(member).map(|m| m.granted(now)).unwrap_or(0)
    }

    /// Returns the sequence number of the request of `member` that was granted last, or 0 if there was none.
    pub fn newest_granted_request(&self, member: &M) -> u64 {
        self.members.get(member).map_or(0, |m| m.sent_grants[0].0)
    }

    /// Answers a request from `from` that arrived at `now`. The grant counts as sent at `now`.
    pub fn on_request(&mut self, now: Millis, from: &M, request: LeaseRequest) -> Result<Grant, Refusal> {
        self.expire(now);
        let is_allocator = self.is_allocator();
        let drift_adjusted_lease = self.config.drift_adjusted_lease_ms();
        let Some(requester) = self.members.get_mut(from) else { return Err(Refusal::NotAlive) };
        if requester.removed || requester.liveness != Liveness::Alive {
            return Err(Refusal::NotAlive);
        }
        if request.sequence <= requester.last_sequence {
            return Err(Refusal::Stale);
        }
        requester.last_sequence = request.sequence;
        requester.wanted = request.wanted;
        requester.requested_at = now;
        if let Some(acknowledged) = request.acknowledged
            && let Some((_, sent)) = requester
                .sent_grants
                .iter()
                .find(|(sequence, _)| *sequence == acknowledged && acknowledged != 0)
        {
            // The holder keeps its share committed to this allocator until two leases after the grant
            // arrived.
            requester.share_until = requester.share_until.max(sent + 2 * drift_adjusted_lease);
        }
        if !is_allocator {
            return Err(Refusal::NotAllocator);
        }
        let pool = self.grantable_pool(now);
        let fair_share = self.fair_share(now, from, pool);
        let fault = self.config.fault;
        let others: u64 = self
            .members
            .iter()
            .filter(|(name, _)| *name != from)
            .map(|(_, m)| m.granted_under(now, fault))
            .sum();
        let units = fair_share.min(pool.saturating_sub(others));
        let until = now + self.config.lease_ms;
        if let Some(requester) = self.members.get_mut(from) {
            requester.record_grant(now, units, until);
            requester.sent_grants.rotate_right(1);
            requester.sent_grants[0] = (request.sequence, now);
        }
        Ok(Grant { sequence: request.sequence, units })
    }

    /// Returns the max-min fair share of member `of` in `pool`, over the demands of the members that are
    /// alive.
    fn fair_share(&self, now: Millis, of: &M, pool: u64) -> u64 {
        let lease = self.config.lease_ms;
        let mut demands: Vec<(u64, &M)> = self
            .members
            .iter()
            .filter(|(name, m)| {
                *name == of || (!m.removed && m.liveness == Liveness::Alive && m.requested_at + lease > now)
            })
            .map(|(name, m)| (m.wanted, name))
            .collect();
        demands.sort();
        let mut left = pool;
        let mut count = demands.len() as u64;
        for (demand, name) in demands {
            let share = demand.min(left / count.max(1));
            if name == of {
                return share;
            }
            left -= share;
            count -= 1;
        }
        0
    }

    /// Drops removed members whose grants have all ended.
    fn expire(&mut self, now: Millis) {
        self.members.retain(|_, m| !(m.removed && m.granted(now) == 0));
    }
}

impl Member {
    fn alive() -> Self {
        Self {
            liveness: Liveness::Alive,
            removed: false,
            wanted: 0,
            newest_grant: CountedGrant::default(),
            earlier_grant: CountedGrant::default(),
            sent_grants: [(0, 0); REMEMBERED_GRANTS],
            share_until: 0,
            requested_at: 0,
            last_sequence: 0,
        }
    }
}
