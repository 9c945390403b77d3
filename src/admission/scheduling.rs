//! Which request runs next, and in which order upstream calls are made.

use super::event::RequestId;
use super::idempotency::IdempotencyReservations;
use super::request_table::{Request, RequestTable};
use super::run_estimates::RunEstimates;
use super::settings::Class;

/// Value of an ms until the latency objective: so small that it only orders requests of equal value.
const URGENCY_PER_MS: f64 = 1e-12;

/// The order of requests at one moment.
pub(super) struct Scheduler<'a> {
    /// The moment.
    pub(super) now: f64,
    /// Whether no request runs.
    pub(super) idle: bool,
    /// The classes.
    pub(super) classes: &'a [Class],
    /// How long runs take.
    pub(super) estimates: &'a RunEstimates,
    /// All requests.
    pub(super) requests: &'a RequestTable,
    /// The reserved requests.
    pub(super) reservations: &'a IdempotencyReservations,
}

impl Scheduler<'_> {
    /// Returns the most valuable of the requests that `is_ready` accepts.
    pub(super) fn best(&self, is_ready: impl Fn(&Request) -> bool) -> Option<RequestId> {
        let candidates = self.requests.iter().filter(|(_, request)| is_ready(request));
        let values = candidates.map(|(id, request)| (id, self.value_with_duplicates(id, request)));
        values.max_by(|left, right| left.1.total_cmp(&right.1)).map(|(id, _)| id)
    }

    /// Returns the weight for each ms of work, which is less where the latency objective can't be met.
    ///
    /// Among equals the earlier objective is worth more.
    pub(super) fn value(&self, request: &Request) -> f64 {
        let weight = if self.estimates.misses_objective(self.now, request, self.idle) {
            request.priority_weight * self.classes[request.class].late_weight
        } else {
            request.priority_weight
        };
        let remaining_ms = (request.objective_at - self.now).max(0.0);
        weight / self.estimates.usual_run_ms(request.class) - remaining_ms * URGENCY_PER_MS
    }

    /// Returns the value of a request with that of the duplicates that its run serves too.
    fn value_with_duplicates(&self, id: RequestId, request: &Request) -> f64 {
        let duplicates = self.requests.unanswered_duplicates(id).filter(|_| self.reservations.contains(id));
        self.value(request) + duplicates.map(|duplicate| self.value(duplicate)).sum::<f64>()
    }
}
