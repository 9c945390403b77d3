//! Requests that end without a result: their final response, and the end of their work.

use super::action::Action;
use super::backpressure::Rejection;
use super::controller::AdmissionController;
use super::deadlines::DeadlineCheck;
use super::event::RequestId;
use super::request::RequestState;
use super::settings::{Preemption, RetrySafety};

impl AdmissionController {
    /// Handles a client that no longer waits for its request.
    pub(super) fn on_client_gone(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        self.requests.set_answered(id);
        self.abandon(now, id, actions);
    }

    /// Answers the requests that are due or are no longer expected to complete in time.
    pub(super) fn answer_overdue(&mut self, now: f64, actions: &mut Vec<Action>) {
        let check = DeadlineCheck {
            now,
            idle: self.is_idle(),
            overloaded: self.overload.level() > 0,
            settings: &self.settings,
            estimates: &self.estimates,
            requests: &self.requests,
            shutdown: self.shutdown,
            timer_lag_ms: self.timer_lag.ms(),
        };
        for id in check.overdue() {
            self.answer_unserved(now, id, true, actions);
        }
    }

    /// Sends the final response to a request that gets no result, whatever its state.
    ///
    /// The request is rejected if it has not run or is idempotent; otherwise it fails, as it may have taken
    /// effect.
    pub(super) fn answer_unserved(
        &mut self,
        now: f64,
        id: RequestId,
        do_not_retry: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id).copied().filter(|request| !request.answered) else {
            return;
        };
        self.requests.set_answered(id);
        let never_ran = request.is_queued() && request.duplicate_of.is_none();
        let retry_safety = self.settings.classes[request.class].retry_safety;
        if never_ran || retry_safety == RetrySafety::Idempotent {
            let retry_after_ms = self.overload.queue_drain_ms();
            actions.push(self.reject(id, Rejection { retry_after_ms, do_not_retry }));
        } else {
            actions.push(Action::Fail(id));
        }
        self.abandon(now, id, actions);
    }

    /// Ends the work on a request whose client no longer waits.
    fn abandon(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        match self.requests.get(id).map(|request| request.state) {
            Some(RequestState::Queued) => {
                self.release_reservation(now, id, actions);
                self.requests.remove(id);
            }
            Some(RequestState::Suspended | RequestState::Reusing) => self.requests.remove(id),
            Some(RequestState::Running | RequestState::InDoubt) => self.stop_unneeded_run(id, actions),
            Some(RequestState::AwaitingCall(_) | RequestState::Calling) | None => {}
        }
    }

    /// Stops an idempotent run if no unanswered duplicate waits for its result.
    fn stop_unneeded_run(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let idempotent = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        let has_waiting_duplicate = self.requests.unanswered_duplicates(id).next().is_some();
        if self.settings.preemption != Preemption::Off && idempotent && !has_waiting_duplicate {
            actions.push(Action::Preempt(id));
        }
    }

    /// Transfers the reservation of a request that never ran to a queued duplicate, or releases it.
    pub(super) fn release_reservation(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let was_reserved = self.reservations.remove(id);
        match self.requests.promote_duplicate(id) {
            Some(promoted) => self.reserve_key(now, promoted, actions),
            None if was_reserved => actions.push(Action::ReleaseKey(id)),
            None => {}
        }
    }
}
