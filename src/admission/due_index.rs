//! The index of unanswered requests by deadline, latency objective and time of the upstream call.

use super::event::RequestId;
use super::request::{Request, RequestState};
use super::sort_key::SortKey;
use std::collections::{BTreeMap, BTreeSet};

/// The states in which a request may be answered early because of its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The request waits for a run.
    Queued,
    /// The request runs.
    Running,
    /// The request waits for its upstream call to be made.
    AwaitingCall,
}

/// The key of a group of requests: one class in one phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PhaseGroup {
    /// Index of the class.
    pub(super) class: usize,
    /// Phase of the requests.
    pub(super) phase: Phase,
}

/// Requests ordered by a time.
type ByTime = BTreeSet<(SortKey, RequestId)>;

/// The unanswered requests, ordered by the times at which they fall due.
#[derive(Debug, Default)]
pub(super) struct DueIndex {
    deadlines: ByTime,
    objectives: BTreeMap<PhaseGroup, ByTime>,
    /// Requests that wait for their upstream call, ordered by the earliest time of the call.
    calls: ByTime,
}

impl DueIndex {
    /// Adds a request; an answered one is not indexed.
    pub(super) fn add(&mut self, id: RequestId, request: &Request) {
        if request.answered {
            return;
        }
        self.deadlines.insert((SortKey::new(request.deadline), id));
        if let Some(group) = phase_group(request) {
            let objective = SortKey::new(request.objective_at);
            self.objectives.entry(group).or_default().insert((objective, id));
        }
        if let RequestState::AwaitingCall(earliest) = request.state {
            self.calls.insert((SortKey::new(earliest), id));
        }
    }

    /// Removes a request, which has to be unchanged since it was added.
    pub(super) fn remove(&mut self, id: RequestId, request: &Request) {
        if request.answered {
            return;
        }
        self.deadlines.remove(&(SortKey::new(request.deadline), id));
        if let Some(group) = phase_group(request) {
            self.remove_objective(group, (SortKey::new(request.objective_at), id));
        }
        if let RequestState::AwaitingCall(earliest) = request.state {
            self.calls.remove(&(SortKey::new(earliest), id));
        }
    }

    /// Returns the requests with a deadline at or before `time`.
    pub(super) fn with_deadline_by(&self, time: f64) -> impl Iterator<Item = RequestId> {
        up_to(&self.deadlines, time)
    }

    /// Returns the requests whose upstream call may be made at `time`.
    pub(super) fn with_call_due_by(&self, time: f64) -> impl Iterator<Item = RequestId> {
        up_to(&self.calls, time)
    }

    /// Returns the groups that have requests.
    pub(super) fn groups(&self) -> impl Iterator<Item = PhaseGroup> {
        self.objectives.keys().copied()
    }

    /// Returns the requests of a group with a latency objective before `time`.
    pub(super) fn with_objective_before(
        &self,
        group: PhaseGroup,
        time: f64,
    ) -> impl Iterator<Item = RequestId> {
        let end = (SortKey::new(time), RequestId::MIN);
        let requests = self.objectives.get(&group).into_iter();
        requests.flat_map(move |requests| requests.range(..end)).map(|(_, id)| *id)
    }

    fn remove_objective(&mut self, group: PhaseGroup, entry: (SortKey, RequestId)) {
        let Some(requests) = self.objectives.get_mut(&group) else { return };
        requests.remove(&entry);
        if requests.is_empty() {
            self.objectives.remove(&group);
        }
    }
}

fn up_to(requests: &ByTime, time: f64) -> impl Iterator<Item = RequestId> {
    requests.range(..=(SortKey::new(time), RequestId::MAX)).map(|(_, id)| *id)
}

fn phase_group(request: &Request) -> Option<PhaseGroup> {
    let phase = match request.state {
        RequestState::Queued => Phase::Queued,
        RequestState::Running => Phase::Running,
        RequestState::AwaitingCall(_) => Phase::AwaitingCall,
        RequestState::InDoubt | RequestState::Calling | RequestState::Suspended | RequestState::Reusing => {
            return None;
        }
    };
    Some(PhaseGroup { class: request.class, phase })
}
