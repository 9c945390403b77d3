//! Which request runs next, and in which order upstream calls are made.

use super::event::RequestId;
use super::idempotency::IdempotencyReservations;
use super::ready_queue::{ByObjective, ReadyGroup};
use super::request::Request;
use super::request_table::RequestTable;
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

/// A request with its value.
#[derive(Clone, Copy)]
struct Valued {
    id: RequestId,
    value: f64,
}

impl Valued {
    /// Returns the more valuable one, among equals the later request.
    fn better(self, other: Valued) -> Valued {
        let order = self.value.total_cmp(&other.value).then(self.id.cmp(&other.id));
        if order.is_lt() { other } else { self }
    }
}

impl Scheduler<'_> {
    /// Returns the most valuable of the requests that could be started, are in an open group and are ready;
    /// among equals the latest.
    pub(super) fn best(
        &self,
        is_open: impl Fn(ReadyGroup) -> bool,
        is_ready: impl Fn(&Request) -> bool,
    ) -> Option<RequestId> {
        let ready = self.requests.ready();
        let is_ready = |id: RequestId| self.requests.get(id).is_some_and(&is_ready);
        let in_groups = ready.groups().filter(|(group, _)| is_open(*group)).flat_map(|(group, requests)| {
            let expected_end = self.estimates.expected_end(self.now, group.class, self.idle);
            let late = requests.late().find(|id| is_ready(*id)).and_then(|id| self.valued(id));
            let missing = self.best_by_objective(requests.missing(expected_end), is_ready);
            let meeting = self.best_by_objective(requests.meeting(expected_end), is_ready);
            [late, missing, meeting].into_iter().flatten()
        });
        let with_duplicates = ready
            .with_duplicates()
            .filter(|id| ready.group(*id).is_some_and(&is_open) && is_ready(*id))
            .filter_map(|id| self.valued(id));
        in_groups.chain(with_duplicates).reduce(Valued::better).map(|best| best.id)
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

    /// Returns the best of requests whose values do not rise with their objectives.
    ///
    /// Objectives so close together that their values are equal are compared one by one.
    fn best_by_objective(
        &self,
        mut requests: ByObjective<'_>,
        is_ready: impl Fn(RequestId) -> bool,
    ) -> Option<Valued> {
        let mut best = self.valued(requests.next_ready(&is_ready)?)?;
        while let Some(next) = requests.next_ready(&is_ready).and_then(|id| self.valued(id)) {
            if next.value < best.value {
                break;
            }
            best = best.better(next);
        }
        Some(best)
    }

    /// Returns a request with its value and that of the duplicates that its run serves too.
    fn valued(&self, id: RequestId) -> Option<Valued> {
        let request = self.requests.get(id)?;
        let duplicates = self.requests.unanswered_duplicates(id).filter(|_| self.reservations.contains(id));
        let value = self.value(request) + duplicates.map(|duplicate| self.value(duplicate)).sum::<f64>();
        Some(Valued { id, value })
    }
}
