//! Table of requests, indexed by request id and by attempt number.

use super::request::Request;
use crate::admission::RequestId;
use crate::server::worker_pool::Delivery;
use std::collections::{BTreeMap, HashMap};

/// Totals of the requests that have a run in the worker pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningRequests {
    /// Number of requests.
    pub(super) count: usize,
    /// Memory that the requests took while queued, kB.
    pub(super) request_kb: f64,
}

/// All requests that have not been removed.
///
/// # Invariants
/// Each request is indexed by its attempt number, which no two requests share.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    ids_by_attempt: HashMap<u64, RequestId>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Returns the id of the request with this attempt number.
    pub(super) fn id_of_attempt(&self, attempt: u64) -> Option<RequestId> {
        self.ids_by_attempt.get(&attempt).copied()
    }

    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.ids_by_attempt.insert(request.attempt, id);
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.ids_by_attempt.remove(&request.attempt);
        Some(request)
    }

    /// Returns the ids of the requests for which the condition holds, in the order of arrival.
    pub(super) fn ids_where(&self, condition: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| condition(request)).map(|(id, _)| *id).collect()
    }

    /// Records that no command reached the worker pool that runs now.
    pub(super) fn reset_deliveries(&mut self) {
        let unconfirmed = self.requests.values_mut().flat_map(|request| &mut request.unconfirmed);
        unconfirmed.for_each(|command| command.delivery = Delivery::NotWritten);
    }

    /// Returns the totals of the requests that have a run in the worker pool.
    pub(super) fn running(&self) -> RunningRequests {
        let running = self.requests.values().filter(|request| request.has_run_in_pool());
        running.fold(RunningRequests::default(), |sum, request| RunningRequests {
            count: sum.count + 1,
            request_kb: sum.request_kb + request.arrival.request_kb,
        })
    }
}
