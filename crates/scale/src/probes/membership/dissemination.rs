//! Measures how fast a change of some members spreads: when each running member first sees each of them as
//! up, or as down.

use super::node_address::node_of;
use dunlinspread_membership::{MemberId, MemberState, Membership, Millis, ViewChange};
use std::collections::HashMap;

/// State of the watched members that the observers have to learn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// The members are up.
    Up,
    /// The members are down.
    Down,
}

/// Records when running members learn the state of some watched members, the subjects.
pub struct DisseminationWatch {
    wanted: Wanted,
    since: Millis,
    /// Position and start of each subject, by node.
    subjects: HashMap<usize, (usize, u64)>,
    nodes: usize,
    /// Whether an observer has yet to learn the state of a subject, at index subject position * `nodes` +
    /// observer.
    pending: Vec<bool>,
    remaining: usize,
    /// Times at which pairs of observer and subject were completed, ms after the start of the watch.
    learned: Vec<u32>,
}

impl DisseminationWatch {
    /// Starts a watch at `now`, ms, in a network of `nodes` nodes. The observers are the members in
    /// `running`, given with their nodes, that do not know the wanted state yet; `subjects` themselves are
    /// not observers.
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
            remaining: 0,
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
                    // The subject is up in this view: already known if up is wanted, otherwise still to be
                    // learned.
                    pending[position * nodes + observer] = wanted == Wanted::Down;
                }
            }
        }
        watch.remaining = pending.iter().filter(|pending| **pending).count();
        watch.pending = pending;
        watch
    }

    /// Returns the position of a member among the subjects, if it is one.
    fn position(&self, id: &MemberId) -> Option<usize> {
        let (position, start) = self.subjects.get(&node_of(&id.address))?;
        (id.start == *start).then_some(*position)
    }

    /// Records a change of an observer's view.
    pub fn on_change(&mut self, now: Millis, observer: usize, change: &ViewChange) {
        let known = match (self.wanted, change) {
            (Wanted::Up, ViewChange::Up(id) | ViewChange::Replaced { new: id, .. }) => id,
            (Wanted::Down, ViewChange::Down(id)) => id,
            _ => return,
        };
        let Some(position) = self.position(known) else { return };
        let pending = &mut self.pending[position * self.nodes + observer];
        if std::mem::take(pending) {
            self.remaining -= 1;
            self.learned.push((now - self.since) as u32);
        }
    }

    /// Returns whether every observer knows the wanted state of every subject.
    pub fn is_complete(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the time in seconds after which the given fraction of all pairs of observer and subject were
    /// complete, or `None` if fewer are complete so far.
    pub fn seconds(&mut self, fraction: f64) -> Option<f64> {
        self.learned.sort_unstable();
        let all = self.learned.len() + self.remaining;
        let rank = (all as f64 * fraction).ceil().max(1.0) as usize - 1;
        self.learned.get(rank).map(|milliseconds| f64::from(*milliseconds) / 1000.0)
    }
}
