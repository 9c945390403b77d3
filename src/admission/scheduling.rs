//! The value of requests, which decides which one runs next and in which order upstream calls are made.

use super::event::RequestId;
use super::idempotency::IdempotencyReservations;
use super::ready_queue::{ByObjective, ReadyGroup};
use super::request::Request;
use super::request_table::RequestTable;
use super::run_estimates::RunEstimates;
use super::settings::Class;

/// Value lost per ms until the latency objective, small enough to order only requests of equal value.
const URGENCY_PER_MS: f64 = 1e-12;

/// Orders requests by their value at one point in time.
pub(super) struct Scheduler<'a> {
    /// The time for which values are computed.
    pub(super) now: f64,
    /// Whether no request runs.
    pub(super) idle: bool,
    /// The classes, by index.
    pub(super) classes: &'a [Class],
    /// Estimates of run times.
    pub(super) estimates: &'a RunEstimates,
    /// All requests of the instance.
    pub(super) requests: &'a RequestTable,
    /// Reservations of idempotency keys and shareable reads.
    pub(super) reservations: &'a IdempotencyReservations,
}

/// A request with its value.
#[derive(Clone, Copy)]
struct ValuedRequest {
    id: RequestId,
    value: f64,
}

impl ValuedRequest {
    /// Returns the more valuable request or, for equal values, the later one.
    fn more_valuable(self, other: ValuedRequest) -> ValuedRequest {
        let order = self.value.total_cmp(&other.value).then(self.id.cmp(&other.id));
        if order.is_lt() { other } else { self }
    }
}

impl Scheduler<'_> {
    /// Returns the most valuable of the requests that could be started, are in an eligible group and are
    /// ready.
    ///
    /// Of requests with equal values, the latest is returned.
    pub(super) fn best(
        &self,
        is_eligible: impl Fn(ReadyGroup) -> bool,
        is_ready: impl Fn(&Request) -> bool,
    ) -> Option<RequestId> {
        let ready = self.requests.ready();
        let is_ready = |id: RequestId| self.requests.get(id).is_some_and(&is_ready);
        let in_groups =
            ready.groups().filter(|(group, _)| is_eligible(*group)).flat_map(|(group, requests)| {
                let expected_end = self.estimates.expected_end(self.now, group.class, self.idle);
                let late = requests.late().find(|id| is_ready(*id)).and_then(|id| self.with_total_value(id));
                let missing = self.best_by_objective(requests.with_objective_before(expected_end), is_ready);
                let meeting = self.best_by_objective(requests.with_objective_from(expected_end), is_ready);
                [late, missing, meeting].into_iter().flatten()
            });
        let with_duplicates = ready
            .with_duplicates()
            .filter(|id| ready.group(*id).is_some_and(&is_eligible) && is_ready(*id))
            .filter_map(|id| self.with_total_value(id));
        in_groups.chain(with_duplicates).reduce(ValuedRequest::more_valuable).map(|best| best.id)
    }

    /// Returns the value of a request: its weight per ms of work, reduced if it will miss its latency
    /// objective.
    ///
    /// Of requests with equal weight per ms, the one with the earlier objective has the higher value.
    pub(super) fn value(&self, request: &Request) -> f64 {
        let weight = if self.estimates.misses_objective(self.now, request, self.idle) {
            request.priority_weight * self.classes[request.class].late_weight
        } else {
            request.priority_weight
        };
        let remaining_ms = (request.objective_at - self.now).max(0.0);
        weight / self.estimates.usual_run_ms(request.class) - remaining_ms * URGENCY_PER_MS
    }

    /// Returns the most valuable of requests whose values do not increase with their objectives.
    ///
    /// Requests whose objectives are so close that their values are equal are compared one by one.
    fn best_by_objective(
        &self,
        mut requests: ByObjective<'_>,
        is_ready: impl Fn(RequestId) -> bool,
    ) -> Option<ValuedRequest> {
        let mut best = self.with_total_value(requests.next_ready(&is_ready)?)?;
        while let Some(next) = requests.next_ready(&is_ready).and_then(|id| self.with_total_value(id)) {
            if next.value < best.value {
                break;
            }
            best = best.more_valuable(next);
        }
        Some(best)
    }

    /// Returns a request with its value, which includes that of the duplicates that its run serves.
    fn with_total_value(&self, id: RequestId) -> Option<ValuedRequest> {
        let request = self.requests.get(id)?;
        let duplicates = self.requests.unanswered_duplicates(id).filter(|_| self.reservations.contains(id));
        let value = self.value(request) + duplicates.map(|duplicate| self.value(duplicate)).sum::<f64>();
        Some(ValuedRequest { id, value })
    }
}
