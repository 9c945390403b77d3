//! How word of some members spreads: when each running member first knows that each of them is up, or down.

use super::node_address::node_of;
use dunlinspread_membership::{MemberId, MemberState, Membership, Millis, ViewChange};
use std::collections::HashMap;

/// What is to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// That they are up.
    Up,
    /// That they are down.
    Down,
}

/// A watch over some members.
pub struct DisseminationWatch {
    wanted: Wanted,
    since: Millis,
    /// The members by node, with their position and start.
    subjects: HashMap<usize, (usize, u64)>,
    nodes: usize,
    /// Which observer has yet to learn of which subject.
    pending: Vec<bool>,
    left: usize,
    /// When each of those that know learned it, ms after the beginning.
    learned: Vec<u32>,
}

impl DisseminationWatch {
    /// Begins at `now`, ms, in a network of so many `nodes`, for every member of `running` (by node) that does not know it
    /// yet. `subjects` themselves do not observe.
    pub fn begin<'a>(
        now: Millis,
        nodes: usize,
        running: impl Iterator<Item = (usize, &'a Membership)>,
        wanted: Wanted,
        subjects: &[MemberId],
    ) -> DisseminationWatch {
        let positions = subjects.iter().enumerate();
        let subjects: HashMap<usize, (usize, u64)> =
            positions.map(|(position, id)| (node_of(&id.address), (position, id.start))).collect();
        let mut watch = DisseminationWatch {
            wanted,
            since: now,
            pending: vec![false; subjects.len() * nodes],
            subjects,
            nodes,
            left: 0,
            learned: Vec::new(),
        };
        let observers = running.filter(|(node, _)| !watch.subjects.contains_key(node));
        let mut pending = std::mem::take(&mut watch.pending);
        for (observer, member) in observers {
            for (position, _) in watch.subjects.values() {
                pending[position * nodes + observer] = wanted == Wanted::Up;
            }
            for (id, _) in member.members().filter(|(_, state)| *state != MemberState::Down) {
                if let Some(position) = watch.position(id) {
                    // Up in this view: known already if that is wanted, to be learned otherwise.
                    pending[position * nodes + observer] = wanted == Wanted::Down;
                }
            }
        }
        watch.left = pending.iter().filter(|pending| **pending).count();
        watch.pending = pending;
        watch
    }

    /// The position of a member among those watched.
    fn position(&self, id: &MemberId) -> Option<usize> {
        let (position, start) = self.subjects.get(&node_of(&id.address))?;
        (id.start == *start).then_some(*position)
    }

    /// A change of an observer's view.
    pub fn on_change(&mut self, now: Millis, observer: usize, change: &ViewChange) {
        let known = match (self.wanted, change) {
            (Wanted::Up, ViewChange::Up(id) | ViewChange::Replaced { new: id, .. }) => id,
            (Wanted::Down, ViewChange::Down(id)) => id,
            _ => return,
        };
        let Some(position) = self.position(known) else { return };
        let pending = &mut self.pending[position * self.nodes + observer];
        if std::mem::take(pending) {
            self.left -= 1;
            self.learned.push((now - self.since) as u32);
        }
    }

    /// Whether everyone knows of everyone.
    pub fn is_complete(&self) -> bool {
        self.left == 0
    }

    /// The time, in seconds, by which this part of all pairs of observer and subject knew; none if fewer do so far.
    pub fn seconds(&mut self, part: f64) -> Option<f64> {
        self.learned.sort_unstable();
        let all = self.learned.len() + self.left;
        let rank = (all as f64 * part).ceil().max(1.0) as usize - 1;
        self.learned.get(rank).map(|milliseconds| f64::from(*milliseconds) / 1000.0)
    }
}
