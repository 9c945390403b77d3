//! The handlers of upstream calls: requests that need a call, calls to make and calls that end.

use super::action::Action;
use super::controller::AdmissionController;
use super::event::{Outcome, RequestId};
use super::request::RequestState;
use super::upstream_calls::{AfterFailure, CallDecision};

/// A request whose upstream call is still to be made.
struct WaitingCall {
    id: RequestId,
    /// Whether the request can continue without the call.
    skippable: bool,
    /// Value of the request to the scheduler.
    value: f64,
}

impl AdmissionController {
    /// Handles a running request that needs an upstream call.
    pub(super) fn on_call_needed(&mut self, now: f64, id: RequestId) {
        self.faults.record_progress(now);
        self.requests.set_state(id, RequestState::AwaitingCall(now));
    }

    /// Handles the end of an upstream call.
    pub(super) fn on_call_end(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        self.upstream_calls.record_end(now, id, outcome, took_ms);
        let Some(request) = self.requests.get(id).copied() else { return };
        if outcome == Outcome::Ok {
            return self.requests.set_state(id, RequestState::Running);
        }
        let class = &self.settings.classes[request.class];
        match self.upstream_calls.after_failure(now, outcome, class, request.call_retries) {
            AfterFailure::Retry { retries, at } => {
                self.requests.update(id, |request| {
                    request.call_retries = retries;
                    request.state = RequestState::AwaitingCall(at);
                });
            }
            AfterFailure::Skip => {
                self.requests.set_state(id, RequestState::Running);
                actions.push(Action::SkipUpstreamCall(id));
            }
            AfterFailure::Fail => {
                self.requests.set_state(id, RequestState::AwaitingCall(f64::INFINITY));
                self.answer_unserved(now, id, false, actions);
            }
        }
    }

    /// Makes or skips the calls that requests wait for: calls that cannot be skipped first, then by value.
    pub(super) fn make_calls(&mut self, now: f64, actions: &mut Vec<Action>) {
        for call in self.waiting_calls(now) {
            let Some(request) = self.requests.get(call.id) else { continue };
            match self.upstream_calls.decide(now, call.id, request, call.skippable) {
                CallDecision::Call { timeout_ms } => {
                    self.requests.set_state(call.id, RequestState::Calling);
                    actions.push(Action::CallUpstream { id: call.id, timeout_ms });
                }
                CallDecision::Skip => {
                    self.requests.set_state(call.id, RequestState::Running);
                    actions.push(Action::SkipUpstreamCall(call.id));
                }
                CallDecision::Wait => {}
            }
        }
    }

    fn waiting_calls(&self, now: f64) -> Vec<WaitingCall> {
        let mut waiting = Vec::new();
        let scheduler = self.scheduler(now);
        for id in self.requests.due().with_call_due_by(now) {
            let Some(request) = self.requests.get(id) else { continue };
            let skippable = self.settings.classes[request.class].degraded_weight > 0.0;
            waiting.push(WaitingCall { id, skippable, value: scheduler.value(request) });
        }
        waiting.sort_by(|left, right| {
            let by_value = right.value.total_cmp(&left.value);
            left.skippable.cmp(&right.skippable).then(by_value).then(left.id.cmp(&right.id))
        });
        waiting
    }
}
