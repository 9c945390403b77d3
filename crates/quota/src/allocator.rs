//! The lender of the pool. Every member keeps one, fed with its view of the fleet; the one whose name is the least of
//! the members it sees alive lends, the others refuse with [`Refusal::NotAllocator`].

use std::collections::{BTreeMap, BTreeSet};

use crate::member::Member;
use crate::sums::Sums;
use crate::{Config, Fault, Millis};

/// What the failure detector says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reach {
    /// Answers.
    Alive,
    /// Has not answered lately; it may be cut off and still serving on its floor.
    Suspect,
    /// Declared down; it may still be serving if it was only cut off, so it keeps its floor until it is forgotten.
    Gone,
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ask {
    /// Grows with each ask of one holder; the grant echoes it.
    pub seq: u64,
    /// Units above its floor the holder would use now.
    pub wants: u64,
    /// The ask whose grant committed the holder's share to this allocator, when it did: the allocator counts the
    /// share as its own until two short leases after it sent that grant.
    pub ack: Option<u64>,
}

/// A lease: `extra` units above the floor, good for the configured lease from the holder's ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant {
    /// The ask this answers.
    pub seq: u64,
    /// Units above the floor.
    pub extra: u64,
}

/// Why an ask got no grant. The holder keeps what it holds until its lease ends, then its floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This member does not lend: another one it sees alive has the lesser name.
    #[error("not the allocator")]
    NotAllocator,
    /// The asker is not in this view, or not alive in it.
    #[error("asker is not alive in this view")]
    NotAlive,
    /// The view holds `max_members` already.
    #[error("view is full")]
    Full,
    /// A newer ask of the same holder came first: this one was held up on the way, and its holder no longer waits
    /// for its answer.
    #[error("ask overtaken by a newer one")]
    Stale,
}

/// One member's view of the fleet, and the pool it lends when it is the allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocator<M> {
    config: Config,
    me: M,
    members: BTreeMap<M, Member>,
    /// Those that have left the view and are still counted.
    forgotten: BTreeSet<M>,
    sums: Sums<M>,
}

impl<M: Ord + Clone> Allocator<M> {
    /// A view holding only `me`, alive, with no share in its pool. `me` must be new at each start: shares lent to an
    /// earlier start are not known here.
    pub fn new(config: Config, me: M) -> Self {
        let mut members = BTreeMap::new();
        let mut sums = Sums::new();
        let mut own = Member::alive();
        sums.refresh(&me, &mut own, &config);
        members.insert(me.clone(), own);
        Self { config, me, members, forgotten: BTreeSet::new(), sums }
    }

    /// The settings in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What the failure detector now says of `member`. Adds it if it is new.
    pub fn on_member(&mut self, now: Millis, member: M, reach: Reach) -> Result<(), Refusal> {
        if member == self.me {
            return Ok(());
        }
        if !self.members.contains_key(&member) && self.members.len() >= self.config.max_members {
            return Err(Refusal::Full);
        }
        let known = self.members.entry(member.clone()).or_insert_with(Member::alive);
        known.reach = reach;
        known.forgotten = false;
        self.sums.refresh(&member, known, &self.config);
        self.forgotten.remove(&member);
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
            self.sums.refresh(member, known, &self.config);
            self.forgotten.insert(member.clone());
        }
        self.expire(now);
    }

    /// Members in the view, this one included: the `members` of every floor.
    pub fn members(&self) -> usize {
        self.members.len() - self.forgotten.len()
    }

    /// Members seen alive, this one included.
    pub fn alive(&self) -> usize {
        self.members.values().filter(|m| !m.forgotten && m.reach == Reach::Alive).count()
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

    /// The floor of each member in this view.
    pub fn floor(&self) -> u64 {
        self.config.floor(self.members())
    }

    /// Shares that members have lent to this allocator and that stay its own for a whole lease from now: a grant
    /// made now is counted for a lease, and must not outlive the shares it was lent from.
    pub fn shares(&self, now: Millis) -> usize {
        let lease = self.config.lease;
        self.members.values().filter(|m| !m.forgotten && m.share_until >= now + lease).count()
    }

    /// The part of the pool this allocator may lend: one share of each member that lent it its share.
    pub fn pool_here(&self, now: Millis) -> u64 {
        self.pool_of(self.shares(now))
    }

    /// The part of the pool that so many shares make.
    fn pool_of(&self, shares: usize) -> u64 {
        let members = self.members();
        if self.config.fault.is(Fault::WholePool) {
            return self.config.pool(members);
        }
        (self.config.pool(members) as u128 * shares as u128 / members.max(1) as u128) as u64
    }

    /// Units lent and maybe still in use, summed over members.
    pub fn outstanding(&self, now: Millis) -> u64 {
        self.members.values().map(|m| m.counted(now)).sum()
    }

    /// Units counted as lent to `member` now: its newest grant, or a larger earlier one that may still be held.
    pub fn lent(&self, now: Millis, member: &M) -> u64 {
        self.members.get(member).map(|m| m.counted(now)).unwrap_or(0)
    }

    /// Answers an ask that arrived now from `from`; the grant is taken to leave now.
    pub fn on_ask(&mut self, now: Millis, from: &M, ask: Ask) -> Result<Grant, Refusal> {
        self.expire(now);
        self.sums.advance(now, &mut self.members, &self.config);
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
        self.sums.refresh(from, asker, &self.config);
        let lent = asker.contribution.lent;
        if !leading {
            return Err(Refusal::NotAllocator);
        }
        let pool = self.pool_of(self.sums.shares);
        // Without a lease of any length nobody takes part for long enough to be divided with.
        let fair = self.sums.wants.share(&(ask.wants, from.clone()), pool).unwrap_or(ask.wants.min(pool));
        let others = self.sums.lent - lent;
        let extra = fair.min(pool.saturating_sub(others));
        let until = now + self.config.lease;
        if let Some(asker) = self.members.get_mut(from) {
            asker.remember(now, extra, until);
            asker.sent.rotate_right(1);
            asker.sent[0] = (ask.seq, now);
            self.sums.refresh(from, asker, &self.config);
        }
        Ok(Grant { seq: ask.seq, extra })
    }

    /// Drops members forgotten that hold nothing more.
    fn expire(&mut self, now: Millis) {
        let Self { members, forgotten, sums, .. } = self;
        forgotten.retain(|name| {
            let Some(member) = members.get_mut(name) else { return false };
            let is_held = member.counted(now) > 0;
            if !is_held {
                sums.remove(name, member);
                members.remove(name);
            }
            is_held
        });
    }
}
