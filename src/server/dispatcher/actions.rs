//! Execution of the actions that the admission controller returns.

use super::state::Dispatcher;
use crate::admission::{Action, AdmissionController, RequestId};
use crate::server::evacuation::HealthInput;
use crate::server::messages::{DispatcherMessage, ListenerMessage, Response};
use slog::info;

impl Dispatcher {
    /// Carries out an action. It has no effect if its request was removed or is in a state that does not
    /// allow it.
    pub(super) fn carry_out(&mut self, now: f64, action: Action) {
        match action {
            Action::Run(id) => self.run_request(id),
            Action::Reject { id, retry_after_ms, do_not_retry } => {
                self.reject(id, Response::Rejected { retry_after_ms, do_not_retry });
            }
            Action::Fail(id) => self.fail(id),
            Action::ReuseResult(id) => self.reuse_result(now, id),
            Action::Preempt(id) => self.preempt(id),
            Action::ReserveKey { id, ttl_ms } => self.reserve_key(id, now + ttl_ms),
            Action::ReleaseKey(id) => self.release_key(id),
            Action::CallUpstream { id, timeout_ms } => self.call_upstream(id, timeout_ms),
            Action::SkipUpstreamCall(id) => self.skip_upstream_call(id),
            Action::AdvertiseShare(share) => self.advertised_share = Some(share),
            Action::SetHealth(healthy) => self.set_health(healthy),
            Action::SetIdleTimeout(idle_ms) => self.set_idle_timeout(idle_ms),
            Action::SetTimer { token, delay_ms } => {
                self.schedule(delay_ms, DispatcherMessage::Timer(token));
            }
            Action::Log(text) => self.repeating_log.log_controller_note(now, &text),
        }
    }

    /// Reserves the key of a request until `window_end`, Unix ms, replacing the reservation of an earlier
    /// attempt.
    fn reserve_key(&mut self, id: RequestId, window_end: f64) {
        if let Some(request) = self.requests.get(id) {
            self.keys.reserve(id, request, window_end);
        }
    }

    /// Releases the key that a request reserved. This does not affect a recorded run.
    fn release_key(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(id) {
            self.keys.release(id, request);
        }
    }

    fn set_health(&mut self, healthy: bool) {
        if healthy != self.health.is_controller_healthy() {
            let faults = self.controller.as_ref().map(AdmissionController::fault_reading).unwrap_or_default();
            info!(self.log, "health changed"; "ms_without_progress" => faults.without_progress_ms.round(),
                "failed_runs" => faults.failure_share, "stalled" => faults.stalled, "healthy" => healthy);
        }
        self.update_health(&[HealthInput::ControllerHealth(healthy)]);
    }

    /// Applies the start or end of an evacuation by an operator and reports the health to the registry
    /// immediately.
    pub(super) fn on_evacuation_changed(&mut self) {
        info!(self.log, "evacuation changed"; "evacuated" => self.status.is_evacuated());
        self.refresh_health();
    }

    fn set_idle_timeout(&self, idle_ms: f64) {
        self.send_to_listener(ListenerMessage::SetIdleTimeout(idle_ms));
    }
}
