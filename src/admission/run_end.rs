//! The handlers of runs that end or are in doubt, and the start of queued and suspended requests.

use super::action::Action;
use super::clamp::clamp_finite;
use super::concurrency_limit::SaturatedClasses;
use super::controller::AdmissionController;
use super::event::{Outcome, RequestId};
use super::ready_queue::ReadyGroup;
use super::request::{Request, RequestState};
use super::settings::{Preemption, RetrySafety};

/// Upper bound of a reported run time, ms.
const MAX_RUN_MS: f64 = 1e9;

impl AdmissionController {
    /// Handles the end of a run or of the reuse of a result.
    pub(super) fn on_run_end(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let stopped_without_answer = outcome == Outcome::Cancelled && !request.answered;
        if stopped_without_answer && self.settings.preemption == Preemption::Suspend {
            return self.requests.set_state(id, RequestState::Suspended);
        }
        let (class, state) = (request.class, request.state);
        if state != RequestState::Reusing {
            self.record_run_end(now, class, outcome, took_ms);
        }
        if state == RequestState::Calling {
            self.upstream_calls.record_abandoned(now, id);
        }
        if stopped_without_answer {
            // The run may have taken effect, so the request is not run again.
            actions.push(Action::Fail(id));
        }
        if outcome == Outcome::NotStarted {
            self.release_reservation(now, id, actions);
        } else if self.settings.classes[class].retry_safety == RetrySafety::Idempotent {
            self.cache_result(now, id, outcome, actions);
        }
        self.requests.remove(id);
    }

    /// Handles a run that may make no further progress: it says nothing about whether other runs do.
    pub(super) fn on_run_in_doubt(&mut self, id: RequestId) {
        if self.requests.get(id).is_some_and(|request| request.state == RequestState::Running) {
            self.requests.set_state(id, RequestState::InDoubt);
        }
    }

    fn record_run_end(&mut self, now: f64, class: usize, outcome: Outcome, took_ms: f64) {
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            self.faults.record_run(outcome == Outcome::Error);
        }
        self.faults.record_progress(now);
        // The time of a run that stalled does not predict the time of later runs.
        if outcome == Outcome::Ok && self.faults.began_after_stall(now - took_ms) {
            let speed = self.slow_start.speed(now);
            self.estimates.record_run(class, clamp_finite(took_ms, 0.0, MAX_RUN_MS), speed);
        }
    }

    /// Keeps the reservation of a successful read while its result may be shared, and releases a failed one.
    fn cache_result(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        if outcome == Outcome::Ok {
            self.reservations.cache_result(now, id);
        } else if self.reservations.remove(id) {
            actions.push(Action::ReleaseKey(id));
        }
    }

    /// Starts queued and suspended requests, the most valuable first, up to the limit of concurrent runs.
    pub(super) fn start_runs(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.requests.advance(now);
        while let Some(id) = self.next_run(now) {
            if self.is_idle() {
                self.faults.record_start_on_idle_cores(now);
            }
            self.requests.set_state(id, RequestState::Running);
            actions.push(Action::Run(id));
            for duplicate in self.requests.queued_duplicates(id) {
                self.requests.set_state(duplicate, RequestState::Reusing);
                actions.push(Action::ReuseResult(duplicate));
            }
        }
    }

    /// Returns the request to start next, or `None` if none may start.
    fn next_run(&self, now: f64) -> Option<RequestId> {
        let (counts, capacity) = (self.run_counts(), self.capacity(now));
        if !self.concurrency.has_capacity(counts, capacity) {
            return None;
        }
        let calls_blocked = self.concurrency.is_blocked_by_calls(counts, capacity);
        let saturated = SaturatedClasses::new(self.requests.totals(), &self.settings.class_limits);
        let free_kb = self.free_memory_kb();
        let fits = |request_kb: f64| self.memory.start_kb(request_kb) <= free_kb;
        let starts_new =
            !self.starts_suspended && self.requests.ready().smallest_request_kb().is_some_and(fits);
        let is_eligible = |group: ReadyGroup| {
            let blocked = !starts_new || calls_blocked && self.requires_upstream_call(group.class);
            (group.suspended || !blocked) && !saturated.contains(group.class)
        };
        let is_ready = |request: &Request| !request.is_queued() || self.may_start(request, fits);
        self.scheduler(now).best(is_eligible, is_ready)
    }

    /// Returns whether a queued request is still to be run and fits into the free memory.
    fn may_start(&self, request: &Request, fits: impl Fn(f64) -> bool) -> bool {
        !request.answered && !self.is_after_grace(request.arrived_at) && fits(request.request_kb)
    }

    /// Returns whether requests of the class cannot complete without their upstream call.
    fn requires_upstream_call(&self, class: usize) -> bool {
        let class = &self.settings.classes[class];
        class.makes_upstream_calls && class.degraded_weight <= 0.0
    }
}
