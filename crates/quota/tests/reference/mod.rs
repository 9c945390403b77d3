//! The computation of grants as it was before the allocator kept sums: it walks and sorts all members for each ask. Kept
//! to hold the allocator against it, grant by grant.

use std::collections::BTreeMap;

use dunlinspread_quota::{Ask, Config, Fault, Grant, Millis, Reach, Refusal};

/// `Fault::is`, which the crate keeps to itself; tests have the faults compiled in.
fn is(fault: Fault, other: Fault) -> bool {
    fault == other
}

/// How many grants sent to one member are remembered for its acknowledgements.
const SENT: usize = 4;

/// Units lent to one member and counted until `until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Lent {
    units: u64,
    until: Millis,
}

impl Lent {
    fn at(&self, now: Millis) -> u64 {
        if now < self.until { self.units } else { 0 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    reach: Reach,
    /// Left the view; counted for what it may still hold, not among the members.
    forgotten: bool,
    wants: u64,
    /// The newest grant.
    current: Lent,
    /// The largest earlier grant that may still be in force: a reply lost on the way leaves the holder with it.
    /// Guards against counting less than the holder may use.
    shadow: Lent,
    /// The newest grants sent, by ask, and when they left: an acknowledgement may name one before the newest when
    /// the newest was held up on the way. Guards against a share dropping out for one late message.
    sent: [(u64, Millis); SENT],
    /// The member's share is in this pool until then.
    share_until: Millis,
    /// Its newest ask arrived then.
    asked: Millis,
    /// The number of its newest ask.
    seq: u64,
}

impl Member {
    fn counted(&self, now: Millis) -> u64 {
        self.current.at(now).max(self.shadow.at(now))
    }

    fn counted_with(&self, now: Millis, fault: Fault) -> u64 {
        if is(fault, Fault::NoShadow) { self.current.at(now) } else { self.counted(now) }
    }

    /// Records a new grant. Of the grants before it, one that is larger and may still be held is kept as the
    /// shadow, with its own end: never a later one, or a shadow would outlive every grant it stands for.
    fn remember(&mut self, now: Millis, units: u64, until: Millis) {
        let mut shadow = Lent::default();
        for earlier in [self.current, self.shadow] {
            if earlier.at(now) > units {
                shadow =
                    Lent { units: shadow.units.max(earlier.units), until: shadow.until.max(earlier.until) };
            }
        }
        self.shadow = shadow;
        self.current = Lent { units, until };
    }
}

/// One member's view of the fleet, and the pool it lends when it is the allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocator<M> {
    config: Config,
    me: M,
    members: BTreeMap<M, Member>,
}

impl<M: Ord + Clone> Allocator<M> {
    /// A view holding only `me`, alive, with no share in its pool. `me` must be new at each start: shares lent to an
    /// earlier start are not known here.
    pub fn new(config: Config, me: M) -> Self {
        let mut members = BTreeMap::new();
        members.insert(me.clone(), Member::alive());
        Self { config, me, members }
    }

    /// What the failure detector now says of `member`. Adds it if it is new.
    pub fn on_member(&mut self, now: Millis, member: M, reach: Reach) -> Result<(), Refusal> {
        if member == self.me {
            return Ok(());
        }
        match self.members.get_mut(&member) {
            Some(known) => {
                known.reach = reach;
                known.forgotten = false;
            }
            None => {
                if self.members.len() >= self.config.max_members {
                    return Err(Refusal::Full);
                }
                let mut fresh = Member::alive();
                fresh.reach = reach;
                self.members.insert(member, fresh);
            }
        }
        self.expire(now);
        Ok(())
    }

    /// `member` has left the view for good: its floor goes back to the others. What it was lent stays counted until
    /// the lease would end.
    pub fn forget(&mut self, now: Millis, member: &M) {
        if *member == self.me {
            return;
        }
        if let Some(known) = self.members.get_mut(member) {
            known.forgotten = true;
            known.reach = Reach::Gone;
        }
        self.expire(now);
    }

    /// Members in the view, this one included: the `members` of every floor.
    pub fn members(&self) -> usize {
        self.members.values().filter(|m| !m.forgotten).count()
    }

    /// The member this view takes for allocator: the least name among those alive.
    pub fn allocator(&self) -> &M {
        self.members
            .iter()
            .find(|(_, m)| !m.forgotten && m.reach == Reach::Alive)
            .map(|(name, _)| name)
            .unwrap_or(&self.me)
    }

    /// Whether this member lends now.
    pub fn leads(&self) -> bool {
        *self.allocator() == self.me
    }

    /// Shares that members have lent to this allocator and that stay its own for a whole lease from now: a grant
    /// made now is counted for a lease, and must not outlive the shares it was lent from.
    pub fn shares(&self, now: Millis) -> usize {
        let lease = self.config.lease;
        self.members.values().filter(|m| !m.forgotten && m.share_until >= now + lease).count()
    }

    /// The part of the pool this allocator may lend: one share of each member that lent it its share.
    pub fn pool_here(&self, now: Millis) -> u64 {
        let members = self.members() as u128;
        if is(self.config.fault, Fault::WholePool) {
            return self.config.pool(self.members());
        }
        (self.config.pool(self.members()) as u128 * self.shares(now) as u128 / members.max(1)) as u64
    }

    /// Units lent and maybe still in use, summed over members.
    pub fn outstanding(&self, now: Millis) -> u64 {
        self.members.values().map(|m| m.counted(now)).sum()
    }

    /// Units counted as lent to `member` now: its newest grant, or a larger earlier one that may still be held.
    pub fn lent(&self, now: Millis, member: &M) -> u64 {
        self.members.get(member).map(|m| m.counted(now)).unwrap_or(0)
    }

    /// The number of the ask that was granted last to a member; 0 if none was.
    pub fn newest_grant(&self, member: &M) -> u64 {
        self.members.get(member).map_or(0, |m| m.sent[0].0)
    }

    /// Answers an ask that arrived now from `from`; the grant is taken to leave now.
    pub fn on_ask(&mut self, now: Millis, from: &M, ask: Ask) -> Result<Grant, Refusal> {
        self.expire(now);
        let leading = self.leads();
        let short = self.config.short_lease();
        let Some(asker) = self.members.get_mut(from) else { return Err(Refusal::NotAlive) };
        if asker.forgotten || asker.reach != Reach::Alive {
            return Err(Refusal::NotAlive);
        }
        if ask.seq <= asker.seq {
            return Err(Refusal::Stale);
        }
        asker.seq = ask.seq;
        asker.wants = ask.wants;
        asker.asked = now;
        if let Some(ack) = ask.ack
            && let Some((_, sent)) = asker.sent.iter().find(|(seq, _)| *seq == ack && ack != 0)
        {
            // The holder keeps its share here for two leases from the grant's arrival.
            asker.share_until = asker.share_until.max(sent + 2 * short);
        }
        if !leading {
            return Err(Refusal::NotAllocator);
        }
        let pool = self.pool_here(now);
        let fair = self.fair_share(now, from, pool);
        let fault = self.config.fault;
        let others: u64 = self
            .members
            .iter()
            .filter(|(name, _)| *name != from)
            .map(|(_, m)| m.counted_with(now, fault))
            .sum();
        let extra = fair.min(pool.saturating_sub(others));
        let until = now + self.config.lease;
        if let Some(asker) = self.members.get_mut(from) {
            asker.remember(now, extra, until);
            asker.sent.rotate_right(1);
            asker.sent[0] = (ask.seq, now);
        }
        Ok(Grant { seq: ask.seq, extra })
    }

    /// Max-min fair share of `of` in `pool`, over the wants of members alive.
    fn fair_share(&self, now: Millis, of: &M, pool: u64) -> u64 {
        let lease = self.config.lease;
        let mut wants: Vec<(u64, &M)> = self
            .members
            .iter()
            .filter(|(name, m)| {
                *name == of || (!m.forgotten && m.reach == Reach::Alive && m.asked + lease > now)
            })
            .map(|(name, m)| (m.wants, name))
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

    /// Drops what has run out, and members forgotten that hold nothing more.
    fn expire(&mut self, now: Millis) {
        self.members.retain(|_, m| !(m.forgotten && m.counted(now) == 0));
    }
}

impl Member {
    fn alive() -> Self {
        Self {
            reach: Reach::Alive,
            forgotten: false,
            wants: 0,
            current: Lent::default(),
            shadow: Lent::default(),
            sent: [(0, 0); SENT],
            share_until: 0,
            asked: 0,
            seq: 0,
        }
    }
}
