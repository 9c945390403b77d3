//! Sums over all members that an ask needs, kept up to a time, so that an ask does not walk over the members.
//!
//! Each sum is a function of the members and of the time alone. A member's part of them is brought up to date when the
//! member changes, and when its part changes by time alone: the next such time of each member lies in a queue.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use crate::allocator::Reach;
use crate::member::Member;
use crate::wants::Wants;
use crate::{Config, Millis};

/// What one member adds to the sums. It follows from the member and the time of the sums: no part of what a member is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contribution {
    /// Units counted as lent to it.
    pub(crate) lent: u64,
    /// Whether its share is in the pool for a whole lease more.
    shares: bool,
    /// What it wants, if it takes part in the division of the pool.
    wants: Option<u64>,
    /// When this changes unless the member does, if ever.
    due: Option<Millis>,
}

impl Contribution {
    fn of(member: &Member, now: Millis, config: &Config) -> Contribution {
        let shares = !member.forgotten && member.share_until >= now + config.lease;
        let takes_part =
            !member.forgotten && member.reach == Reach::Alive && member.asked + config.lease > now;
        let lent_ends = [member.current, member.shadow]
            .into_iter()
            .filter(|lent| lent.at(now) > 0)
            .map(|lent| lent.until);
        let share_ends = shares.then(|| member.share_until - config.lease + 1);
        let ask_ends = takes_part.then(|| member.asked + config.lease);
        Contribution {
            lent: member.counted_with(now, config.fault),
            shares,
            wants: takes_part.then_some(member.wants),
            due: lent_ends.chain(share_ends).chain(ask_ends).min(),
        }
    }
}

impl PartialEq for Contribution {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Contribution {}

impl Hash for Contribution {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// The sums. They follow from the members and the time: no part of what an allocator is.
#[derive(Clone, Debug)]
pub(crate) struct Sums<M> {
    at: Millis,
    /// Units counted as lent.
    pub(crate) lent: u64,
    /// Shares in the pool for a whole lease more.
    pub(crate) shares: usize,
    /// The wants of those that take part in the division of the pool.
    pub(crate) wants: Wants<M>,
    due: BTreeSet<(Millis, M)>,
}

impl<M> PartialEq for Sums<M> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<M> Eq for Sums<M> {}

impl<M> Hash for Sums<M> {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

impl<M: Ord + Clone> Sums<M> {
    /// Those of no members.
    pub(crate) fn new() -> Self {
        Self { at: 0, lent: 0, shares: 0, wants: Wants::new(), due: BTreeSet::new() }
    }

    /// Brings the sums to a time; should that lie before the time they are at, from the members anew.
    pub(crate) fn advance(&mut self, now: Millis, members: &mut BTreeMap<M, Member>, config: &Config) {
        let goes_back = now < self.at;
        self.at = now;
        if goes_back {
            for (name, member) in members.iter_mut() {
                self.refresh(name, member, config);
            }
        }
        while self.due.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, name)) = self.due.pop_first() else { return };
            if let Some(member) = members.get_mut(&name) {
                self.refresh(&name, member, config);
            }
        }
    }

    /// Takes up what changed of a member.
    pub(crate) fn refresh(&mut self, name: &M, member: &mut Member, config: &Config) {
        let new = Contribution::of(member, self.at, config);
        self.replace(name, &mut member.contribution, new);
    }

    /// Takes a member out.
    pub(crate) fn remove(&mut self, name: &M, member: &mut Member) {
        self.replace(name, &mut member.contribution, Contribution::default());
    }

    fn replace(&mut self, name: &M, contribution: &mut Contribution, new: Contribution) {
        let old = std::mem::replace(contribution, new);
        self.lent = self.lent - old.lent + new.lent;
        self.shares = self.shares - usize::from(old.shares) + usize::from(new.shares);
        if old.wants != new.wants {
            if let Some(units) = old.wants {
                self.wants.remove(&(units, name.clone()));
            }
            if let Some(units) = new.wants {
                self.wants.insert((units, name.clone()));
            }
        }
        if old.due != new.due
            && let Some(due) = old.due
        {
            self.due.remove(&(due, name.clone()));
        }
        if let Some(due) = new.due {
            self.due.insert((due, name.clone()));
        }
    }
}
