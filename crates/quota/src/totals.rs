//! Totals over all members that a request needs, kept up to a time, so that a request does not iterate over the members.
//!
//! Each total is a function of the members and of the time alone. A member's part of them is brought up to date when the
//! member changes, and when its part changes by time alone: the next such time of each member lies in a queue.

use crate::config::{Config, Millis};
use crate::contribution::Contribution;
use crate::demands::{Demand, Demands};
use crate::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The totals over all members.
///
/// They follow from the members and the time, and are no part of an allocator's state: all are equal.
#[derive(Clone, Debug)]
pub(crate) struct Totals<M> {
    /// The time they are at.
    at: Millis,
    /// Units counted as granted.
    pub granted: u64,
    /// Shares that stay in the pool for a whole lease more.
    pub shares: usize,
    /// What the members want that take part in the division of the pool.
    pub demands: Demands<M>,
    /// When each member's part changes by time alone.
    due: BTreeSet<(Millis, M)>,
}

impl<M> PartialEq for Totals<M> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<M> Eq for Totals<M> {}

impl<M> Hash for Totals<M> {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

impl<M: Ord + Clone> Totals<M> {
    /// Returns the totals of no members.
    pub fn new() -> Self {
        Self { at: 0, granted: 0, shares: 0, demands: Demands::new(), due: BTreeSet::new() }
    }

    /// Brings the totals to a time; should that lie before the time they are at, from the members anew.
    pub fn advance(&mut self, now: Millis, members: &mut BTreeMap<M, Member>, config: &Config) {
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
    pub fn refresh(&mut self, name: &M, member: &mut Member, config: &Config) {
        let new = member.contribution_at(self.at, config);
        self.replace(name, &mut member.contribution, new);
    }

    /// Takes a member out.
    pub fn remove(&mut self, name: &M, member: &mut Member) {
        self.replace(name, &mut member.contribution, Contribution::default());
    }

    fn replace(&mut self, name: &M, contribution: &mut Contribution, new: Contribution) {
        let old = std::mem::replace(contribution, new);
        self.granted = self.granted - old.granted + new.granted;
        self.shares = self.shares - usize::from(old.shares) + usize::from(new.shares);
        if old.demand != new.demand {
            if let Some(units) = old.demand {
                self.demands.remove(&Demand { units, name: name.clone() });
            }
            if let Some(units) = new.demand {
                self.demands.insert(Demand { units, name: name.clone() });
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
