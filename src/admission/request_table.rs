//! The requests of an instance, from arrival to the end of their work.
//!
//! Every change of a request goes through the table, which maintains sums over all requests and indexes by
//! time and by value. No event iterates over requests that it does not concern, so that its cost hardly
//! depends on the number of requests in the table.

use super::due_index::DueIndex;
use super::event::RequestId;
use super::ready_queue::ReadyQueue;
use super::request::{Request, RequestState};
use super::request_totals::RequestTotals;
use std::collections::{BTreeMap, BTreeSet};

/// All requests that have not ended, by id.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// The duplicates of each original, by the original's id; the original may have ended.
    duplicates: BTreeMap<RequestId, BTreeSet<RequestId>>,
    totals: RequestTotals,
    due: DueIndex,
    ready: ReadyQueue,
}

impl RequestTable {
    /// Returns whether the request is in the table.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns the request with this id.
    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.replace(id, Some(request));
    }

    /// Removes a request, if it is in the table.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.replace(id, None);
    }

    /// Changes a request, if it is in the table.
    pub(super) fn update(&mut self, id: RequestId, change: impl FnOnce(&mut Request)) {
        let Some(mut request) = self.get(id).copied() else { return };
        change(&mut request);
        self.replace(id, Some(request));
    }

    /// Sets the state of a request, if it is in the table.
    pub(super) fn set_state(&mut self, id: RequestId, state: RequestState) {
        self.update(id, |request| request.state = state);
    }

    /// Marks a request as answered: it got its final response or its client is gone.
    pub(super) fn set_answered(&mut self, id: RequestId) {
        self.update(id, |request| request.answered = true);
    }

    /// Caps all deadlines and latency objectives at `stop_at`.
    pub(super) fn cap_deadlines(&mut self, stop_at: f64) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.update(id, |request| {
                request.deadline = request.deadline.min(stop_at);
                request.objective_at = request.objective_at.min(stop_at);
            });
        }
    }

    /// Advances the ready queue to `now`; has to precede each selection of a request to start.
    pub(super) fn advance(&mut self, now: f64) {
        self.ready.advance(now);
    }

    /// Returns all requests in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// Returns the sums over all requests.
    pub(super) fn totals(&self) -> &RequestTotals {
        &self.totals
    }

    /// Returns the index of unanswered requests by the times at which they fall due.
    pub(super) fn due(&self) -> &DueIndex {
        &self.due
    }

    /// Returns the requests that could be started.
    ///
    /// These are the suspended requests, and the queued requests that do not wait for an original.
    pub(super) fn ready(&self) -> &ReadyQueue {
        &self.ready
    }

    /// Returns the number of running requests.
    pub(super) fn running(&self) -> usize {
        self.totals.runs().running
    }

    /// Returns whether the request duplicates one that is still queued.
    pub(super) fn waits_for_original(&self, request: &Request) -> bool {
        request.duplicate_of.is_some_and(|original| self.is_queued(original))
    }

    /// Returns whether the request is queued.
    pub(super) fn is_queued(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(Request::is_queued)
    }

    /// Returns the queued duplicates of a request, in the order of their ids.
    pub(super) fn queued_duplicates(&self, id: RequestId) -> Vec<RequestId> {
        self.duplicates_of(id).filter(|duplicate| self.is_queued(*duplicate)).collect()
    }

    /// Makes the first queued duplicate of a request the original of the other queued duplicates.
    ///
    /// Returns the promoted duplicate, if there is one.
    pub(super) fn promote_duplicate(&mut self, id: RequestId) -> Option<RequestId> {
        let duplicates = self.queued_duplicates(id);
        let first = *duplicates.first()?;
        for duplicate in duplicates {
            self.update(duplicate, |request| request.duplicate_of = (duplicate != first).then_some(first));
        }
        Some(first)
    }

    /// Returns the unanswered duplicates of a request.
    pub(super) fn unanswered_duplicates(&self, id: RequestId) -> impl Iterator<Item = &Request> {
        let duplicates = self.duplicates_of(id).filter_map(|duplicate| self.get(duplicate));
        duplicates.filter(|duplicate| !duplicate.answered)
    }

    fn duplicates_of(&self, id: RequestId) -> impl Iterator<Item = RequestId> {
        self.duplicates.get(&id).into_iter().flatten().copied()
    }

    /// Sets or removes a request and updates all sums and indexes.
    fn replace(&mut self, id: RequestId, new: Option<Request>) {
        let old = match new {
            Some(request) => self.requests.insert(id, request),
            None => self.requests.remove(&id),
        };
        if let Some(request) = &old {
            self.totals.subtract(request);
            self.due.remove(id, request);
        }
        if let Some(request) = &new {
            self.totals.add(request);
            self.due.add(id, request);
        }
        let originals = [old, new].map(|request| request.and_then(|request| request.duplicate_of));
        if originals[0] != originals[1] {
            self.move_duplicate(id, originals);
        }
        self.refresh_ready(id);
        let was_queued = old.is_some_and(|request| request.is_queued());
        if was_queued != self.is_queued(id) {
            let duplicates: Vec<RequestId> = self.duplicates_of(id).collect();
            duplicates.into_iter().for_each(|duplicate| self.refresh_ready(duplicate));
        }
    }

    /// Updates the duplicates of both originals after a request's original changed.
    fn move_duplicate(&mut self, id: RequestId, [old, new]: [Option<RequestId>; 2]) {
        if let Some(original) = old {
            self.remove_duplicate(original, id);
            self.refresh_ready(original);
        }
        if let Some(original) = new {
            self.duplicates.entry(original).or_default().insert(id);
            self.refresh_ready(original);
        }
    }

    fn remove_duplicate(&mut self, original: RequestId, id: RequestId) {
        let Some(duplicates) = self.duplicates.get_mut(&original) else { return };
        duplicates.remove(&id);
        if duplicates.is_empty() {
            self.duplicates.remove(&original);
        }
    }

    /// Updates the position of a request in the ready queue, or removes it if it could not be started.
    fn refresh_ready(&mut self, id: RequestId) {
        let request = self.requests.get(&id).filter(|request| self.could_start(request));
        self.ready.update(id, request, self.duplicates.contains_key(&id));
    }

    fn could_start(&self, request: &Request) -> bool {
        match request.state {
            RequestState::Queued => !self.waits_for_original(request),
            RequestState::Suspended => true,
            _ => false,
        }
    }
}
