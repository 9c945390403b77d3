//! The requests of an instance, from arrival to the end of their work.

use super::event::RequestId;
use std::collections::BTreeMap;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// Waits for a run.
    Queued,
    /// Runs.
    Running,
    /// Needs an upstream call, which is not to be made before this time.
    AwaitingCall(f64),
    /// Its upstream call is in progress.
    Calling,
    /// Its run was suspended.
    Suspended,
    /// Waits for the result of the request that it duplicates.
    Reusing,
}

/// A request that was read and has not ended.
#[derive(Debug)]
pub(super) struct Request {
    /// Index of its class.
    pub(super) class: usize,
    /// Memory while queued, kB.
    pub(super) request_kb: f64,
    /// Its quantile among all traffic, 0 to 1; the lowest is shed first.
    pub(super) priority: f64,
    /// Its weight against other requests.
    pub(super) priority_weight: f64,
    /// Time at which it reached the machine.
    pub(super) arrived_at: f64,
    /// Time up to which a response has full weight.
    pub(super) objective_at: f64,
    /// Time up to which it has to be answered.
    pub(super) deadline: f64,
    /// Its state.
    pub(super) state: RequestState,
    /// The request that it duplicates, if any.
    pub(super) duplicate_of: Option<RequestId>,
    /// Whether its final response was given or its client is gone.
    pub(super) answered: bool,
    /// Upstream calls that were repeated.
    pub(super) call_retries: i32,
}

/// Requests that run or will soon, by state.
#[derive(Clone, Copy)]
pub(super) struct RunCounts {
    /// Requests on the cores.
    pub(super) running: usize,
    /// Requests that wait for an upstream call to be made.
    pub(super) awaiting_call: usize,
    /// Requests whose upstream call is in progress.
    pub(super) calling: usize,
}

/// All requests that have not ended, by id.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
}

impl RequestTable {
    /// Returns whether the request is in the table.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns the request.
    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Returns the request for changes.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    /// Removes a request, if it is there.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Returns all requests in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// Sets the state of a request, if it is there.
    pub(super) fn set_state(&mut self, id: RequestId, state: RequestState) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = state;
        }
    }

    /// Brings all deadlines and latency objectives to `stop_at` at the latest.
    pub(super) fn cap_deadlines(&mut self, stop_at: f64) {
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(stop_at);
            request.objective_at = request.objective_at.min(stop_at);
        }
    }

    /// Returns the number of running requests.
    pub(super) fn running(&self) -> usize {
        self.requests.values().filter(|request| request.state == RequestState::Running).count()
    }

    /// Returns the numbers of requests that run or will soon.
    pub(super) fn run_counts(&self) -> RunCounts {
        let mut counts = RunCounts { running: 0, awaiting_call: 0, calling: 0 };
        for request in self.requests.values() {
            match request.state {
                RequestState::Running => counts.running += 1,
                RequestState::AwaitingCall(_) => counts.awaiting_call += 1,
                RequestState::Calling => counts.calling += 1,
                _ => {}
            }
        }
        counts
    }

    /// Returns whether the request duplicates one that is still queued.
    pub(super) fn waits_for_original(&self, request: &Request) -> bool {
        request.duplicate_of.is_some_and(|original| self.is_queued(original))
    }

    /// Returns whether the request is queued.
    pub(super) fn is_queued(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.state == RequestState::Queued)
    }

    /// Returns the queued duplicates of a request, in the order of their ids.
    pub(super) fn queued_duplicates(&self, id: RequestId) -> Vec<RequestId> {
        let waits =
            |request: &Request| request.duplicate_of == Some(id) && request.state == RequestState::Queued;
        self.iter().filter(|(_, request)| waits(request)).map(|(id, _)| id).collect()
    }

    /// Makes the first queued duplicate of a request an original, which its other queued duplicates then
    /// duplicate.
    ///
    /// Returns that duplicate, if there is one.
    pub(super) fn promote_duplicate(&mut self, id: RequestId) -> Option<RequestId> {
        let duplicates = self.queued_duplicates(id);
        let heir = *duplicates.first()?;
        for duplicate in duplicates {
            if let Some(request) = self.requests.get_mut(&duplicate) {
                request.duplicate_of = (duplicate != heir).then_some(heir);
            }
        }
        Some(heir)
    }

    /// Returns the duplicates of a request that are not answered.
    pub(super) fn unanswered_duplicates(&self, id: RequestId) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(move |request| request.duplicate_of == Some(id) && !request.answered)
    }
}
