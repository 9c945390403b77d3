//! Reference table of requests without an index: each query visits all requests.

use super::event::RequestId;
use super::idempotency::IdempotencyReservations;
use super::request::{Request, RequestState};
use super::request_totals::{ClassCounts, RunCounts};
use super::run_estimates::RunEstimates;
use super::settings::{Class, Preemption, RetrySafety, Settings};
use super::shutdown::Shutdown;
use std::collections::BTreeMap;

/// Value of 1 ms until the latency objective, equal to the scheduler's.
const URGENCY_PER_MS: f64 = 1e-12;
/// Time by which a request is answered early in addition to two ticks, ms.
const TIMER_PERIOD_MS: f64 = 50.0;

/// Reference table of requests.
#[derive(Default)]
pub(super) struct PlainTable {
    pub(super) requests: BTreeMap<RequestId, Request>,
}

/// Inputs of the queries other than the requests.
pub(super) struct Moment<'a> {
    pub(super) now: f64,
    pub(super) idle: bool,
    pub(super) overloaded: bool,
    pub(super) shutdown: Option<Shutdown>,
    pub(super) settings: &'a Settings,
    pub(super) estimates: &'a RunEstimates,
    pub(super) reservations: &'a IdempotencyReservations,
}

impl PlainTable {
    pub(super) fn cap_deadlines(&mut self, stop_at: f64) {
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(stop_at);
            request.objective_at = request.objective_at.min(stop_at);
        }
    }

    pub(super) fn promote_duplicate(&mut self, id: RequestId) -> Option<RequestId> {
        let duplicates = self.queued_duplicates(id);
        let promoted = *duplicates.first()?;
        for duplicate in duplicates {
            if let Some(request) = self.requests.get_mut(&duplicate) {
                request.duplicate_of = (duplicate != promoted).then_some(promoted);
            }
        }
        Some(promoted)
    }

    pub(super) fn queued_duplicates(&self, id: RequestId) -> Vec<RequestId> {
        let waits =
            |request: &Request| request.duplicate_of == Some(id) && request.state == RequestState::Queued;
        self.requests.iter().filter(|(_, request)| waits(request)).map(|(id, _)| *id).collect()
    }

    pub(super) fn unanswered_duplicates(&self, id: RequestId) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(move |request| request.duplicate_of == Some(id) && !request.answered)
    }

    pub(super) fn run_counts(&self) -> RunCounts {
        let mut counts = RunCounts::default();
        for request in self.requests.values() {
            match request.state {
                RequestState::Running => counts.running += 1,
                RequestState::AwaitingCall(_) => counts.awaiting_call += 1,
                RequestState::Calling | RequestState::InDoubt => counts.calling += 1,
                _ => {}
            }
        }
        counts
    }

    pub(super) fn class_counts(&self, class: usize) -> ClassCounts {
        let mut counts = ClassCounts::default();
        for request in self.requests.values().filter(|request| request.class == class) {
            match request.state {
                RequestState::Queued => counts.queued += 1,
                RequestState::Running
                | RequestState::InDoubt
                | RequestState::AwaitingCall(_)
                | RequestState::Calling => counts.in_progress += 1,
                RequestState::Suspended | RequestState::Reusing => {}
            }
        }
        counts
    }

    pub(super) fn used_kb(&self, run_factor: f64) -> f64 {
        let request_kb = |request: &Request| match request.state {
            RequestState::Queued | RequestState::Reusing => request.request_kb,
            _ => request.request_kb * run_factor,
        };
        self.requests.values().map(request_kb).sum::<f64>()
    }

    pub(super) fn waits_for_original(&self, request: &Request) -> bool {
        let is_queued = |id| {
            self.requests.get(&id).is_some_and(|request: &Request| request.state == RequestState::Queued)
        };
        request.duplicate_of.is_some_and(is_queued)
    }

    pub(super) fn due_calls(&self, now: f64) -> Vec<RequestId> {
        let is_due =
            |request: &Request| matches!(request.state, RequestState::AwaitingCall(from) if from <= now);
        let due = self.requests.iter().filter(|(_, request)| is_due(request) && !request.answered);
        due.map(|(id, _)| *id).collect()
    }

    pub(super) fn best(&self, moment: &Moment, accepts: impl Fn(&Request) -> bool) -> Option<RequestId> {
        let could_start = |request: &Request| match request.state {
            RequestState::Queued => !self.waits_for_original(request),
            RequestState::Suspended => true,
            _ => false,
        };
        let candidates = self.requests.iter().filter(|(_, request)| could_start(request) && accepts(request));
        let values = candidates.map(|(id, request)| (*id, self.value_with_duplicates(moment, *id, request)));
        values.max_by(|left, right| left.1.total_cmp(&right.1)).map(|(id, _)| id)
    }

    fn value_with_duplicates(&self, moment: &Moment, id: RequestId, request: &Request) -> f64 {
        let duplicates = self.unanswered_duplicates(id).filter(|_| moment.reservations.contains(id));
        moment.value(request) + duplicates.map(|duplicate| moment.value(duplicate)).sum::<f64>()
    }

    pub(super) fn overdue(&self, moment: &Moment) -> Vec<RequestId> {
        let unanswered = self.requests.iter().filter(|(_, request)| !request.answered);
        let overdue = unanswered
            .filter(|(_, request)| self.is_hopeless(moment, request) || moment.is_due(request.deadline));
        overdue.map(|(id, _)| *id).collect()
    }

    fn is_hopeless(&self, moment: &Moment, request: &Request) -> bool {
        let class = &moment.settings.classes[request.class];
        match request.state {
            RequestState::Queued => {
                let too_late =
                    moment.shutdown.is_some_and(|shutdown| shutdown.is_after_grace(request.arrived_at));
                let misses_objective = moment.misses_objective(request);
                too_late && !self.waits_for_original(request)
                    || misses_objective && (class.late_weight <= 0.0 || moment.overloaded)
            }
            RequestState::Running => {
                moment.settings.preemption != Preemption::Off && moment.is_worthless(request, class)
            }
            RequestState::AwaitingCall(_) => moment.is_worthless(request, class),
            _ => false,
        }
    }
}

impl Moment<'_> {
    fn misses_objective(&self, request: &Request) -> bool {
        self.estimates.misses_objective(self.now, request, self.idle)
    }

    fn value(&self, request: &Request) -> f64 {
        let weight = if self.misses_objective(request) {
            request.priority_weight * self.settings.classes[request.class].late_weight
        } else {
            request.priority_weight
        };
        let remaining_ms = (request.objective_at - self.now).max(0.0);
        weight / self.estimates.usual_run_ms(request.class) - remaining_ms * URGENCY_PER_MS
    }

    fn margin_ms(&self) -> f64 {
        TIMER_PERIOD_MS + 2.0 * self.settings.tick_ms
    }

    fn is_due(&self, deadline: f64) -> bool {
        self.now + self.margin_ms() >= deadline
    }

    fn is_worthless(&self, request: &Request, class: &Class) -> bool {
        class.late_weight <= 0.0
            && self.now + self.margin_ms() > request.objective_at
            && class.retry_safety == RetrySafety::Idempotent
    }
}
