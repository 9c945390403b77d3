//! Running totals over all members, so that answering a request does not iterate over the members.
//!
//! Each total is a function of the members and the time alone. A member's contribution is updated when the
//! member changes, and when the contribution changes by the passage of time: a queue holds the next such time
//! of each member.

use crate::config::{Config, Millis};
use crate::contribution::Contribution;
use crate::demands::{Demand, Demands};
use crate::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The totals over all members.
///
/// The totals are derived from the members and the time and are not part of an allocator's state, so any two
/// totals compare equal.
#[derive(Clone, Debug)]
pub(crate) struct Totals<M> {
    /// The time for which the totals are valid.
    at: Millis,
    /// Units counted as granted, over all members.
    pub granted: u64,
    /// Number of shares that stay in the pool for at least another whole lease.
    pub shares: usize,
    /// Demands of the members that take part in the division of the pool.
    pub demands: Demands<M>,
    /// The next time at which each member's contribution changes by the passage of time alone.
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
    /// Returns the totals over an empty set of members.
    pub fn new() -> Self {
        Self { at: 0, granted: 0, shares: 0, demands: Demands::new(), due: BTreeSet::new() }
    }

    /// Updates the totals to the time `now`. If `now` is earlier than the current time of the totals,
    /// recomputes them from all members.
    pub fn advance(&mut self, now: Millis, members: &mut BTreeMap<M, Member>, config: &Config) {
        let clock_went_back = now < self.at;
        self.at = now;
        if clock_went_back {
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

    /// Recomputes the contribution of a member that changed.
    pub fn refresh(&mut self, name: &M, member: &mut Member, config: &Config) {
        let new = member.contribution_at(self.at, config);
        self.replace(name, &mut member.contribution, new);
    }

    /// Removes a member's contribution.
    pub fn remove(&mut self, name: &M, member: &mut Member) {
        self.replace(name, &mut member.contribution, Contribution::default());
    }

    fn replace(&mut self, name: &M, contribution: &mut Contribution, new: Contribution) {
        let old = std::mem::replace(contribution, new);
        self.granted = self.granted - old.granted + new.granted;
        self.shares = self.shares - usize::from(old.has_share) + usize::from(new.has_share);
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
