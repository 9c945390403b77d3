//! The reference computation of grants: it iterates over all members and sorts them for each request.
//!
//! It repeats the computation of the crate on purpose, without its totals and its ordered demands, so that the test can
//! compare the two grant by grant. The two are to be kept apart: code that both use would be compared with itself.

use std::collections::BTreeMap;

use dunlinspread_quota::{Config, Fault, Grant, LeaseRequest, Liveness, Millis, Refusal};

/// `Fault::is`, which the crate keeps to itself; tests have the faults compiled in.
fn is(fault: Fault, other: Fault) -> bool {
    fault == other
}

/// How many grants sent to one member are remembered for its acknowledgements.
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
    /// Left the view; counted for what it may still hold, not among the members.
    removed: bool,
    wanted: u64,
    /// The newest grant.
    newest_grant: CountedGrant,
    /// The largest earlier grant that may still be in force: a reply lost on the way leaves the holder with it.
    /// Guards against counting less than the holder may use.
    earlier_grant: CountedGrant,
    /// The newest grants sent, by request, and when they left: an acknowledgement may name one before the newest when
    /// the newest was held up on the way. Guards against a share dropping out for one late message.
    sent_grants: [(u64, Millis); REMEMBERED_GRANTS],
    /// The member's share is in this pool until then.
    share_until: Millis,
    /// When its newest request arrived.
    requested_at: Millis,
    /// The number of its newest request.
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

    /// Records a new grant. Of the grants before it, one that is larger and may still be held is kept as the earlier
    /// grant, with its own end: never a later one, or it would outlive every grant that it stands for.
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

    /// Takes up what the failure detector now states of `member`.
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

    /// Removes `member` from the view for good.
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

    /// Returns the member that this view takes for the allocator: the least name among those alive.
    pub fn allocator(&self) -> &M {
        self.members
            .iter()
            .find(|(_, m)| !m.removed && m.liveness == Liveness::Alive)
            .map(|(name, _)| name)
            .unwrap_or(&self.me)
    }

    /// Returns whether this member is the allocator now.
    pub fn is_allocator(&self) -> bool {
        *self.allocator() == self.me
    }

    /// Returns the number of shares committed to this allocator for a whole lease from now.
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

    /// Returns the units granted and maybe still in use, summed over members.
    pub fn outstanding(&self, now: Millis) -> u64 {
        self.members.values().map(|m| m.granted(now)).sum()
    }

    /// Returns the units counted as granted to `member` now.
    pub fn granted_to(&self, now: Millis, member: &M) -> u64 {
        self.members.get(member).map(|m| m.granted(now)).unwrap_or(0)
    }

    /// Returns the number of the request that was granted last to a member; 0 if none was.
    pub fn newest_granted_request(&self, member: &M) -> u64 {
        self.members.get(member).map_or(0, |m| m.sent_grants[0].0)
    }

    /// Answers a request that arrived now from `from`; the grant is taken to leave now.
    pub fn on_request(&mut self, now: Millis, from: &M, request: LeaseRequest) -> Result<Grant, Refusal> {
        self.expire(now);
        let is_allocator = self.is_allocator();
        let short = self.config.drift_adjusted_lease_ms();
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
            // The holder keeps its share here for two leases from the grant's arrival.
            requester.share_until = requester.share_until.max(sent + 2 * short);
        }
        if !is_allocator {
            return Err(Refusal::NotAllocator);
        }
        let pool = self.grantable_pool(now);
        let fair = self.fair_share(now, from, pool);
        let fault = self.config.fault;
        let others: u64 = self
            .members
            .iter()
            .filter(|(name, _)| *name != from)
            .map(|(_, m)| m.granted_under(now, fault))
            .sum();
        let units = fair.min(pool.saturating_sub(others));
        let until = now + self.config.lease_ms;
        if let Some(requester) = self.members.get_mut(from) {
            requester.record_grant(now, units, until);
            requester.sent_grants.rotate_right(1);
            requester.sent_grants[0] = (request.sequence, now);
        }
        Ok(Grant { sequence: request.sequence, units })
    }

    /// Returns the max-min fair share of `of` in `pool`, over the demands of members alive.
    fn fair_share(&self, now: Millis, of: &M, pool: u64) -> u64 {
        let lease = self.config.lease_ms;
        let mut wants: Vec<(u64, &M)> = self
            .members
            .iter()
            .filter(|(name, m)| {
                *name == of || (!m.removed && m.liveness == Liveness::Alive && m.requested_at + lease > now)
            })
            .map(|(name, m)| (m.wanted, name))
            .collect();
        wants.sort();
        let mut left = pool;
        let mut count = wants.len() as u64;
        for (want, name) in wants {
            let give = want.min(left / count.max(1));
            if name == of {
                return give;
            }
            left -= give;
            count -= 1;
        }
        0
    }

    /// Drops removed members that hold nothing more.
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
