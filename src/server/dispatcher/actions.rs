//! The actions of the admission controller, carried out.

use super::state::Dispatcher;
use crate::admission::{Action, AdmissionController, RequestId};
use crate::server::evacuation::HealthInput;
use crate::server::messages::{DispatcherMessage, ListenerMessage, Response};
use slog::info;

impl Dispatcher {
    /// Carries out an action. An action for a request that is gone, or in a state that does not allow it, has no effect.
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
            Action::Log(text) => self.repeating_log.controller_note(now, &text),
        }
    }

    /// Reserves the key for a request until `window_end`, Unix ms, also in place of an earlier attempt.
    fn reserve_key(&mut self, id: RequestId, window_end: f64) {
        if let Some(request) = self.requests.get(id) {
            self.keys.reserve(id, request, window_end);
        }
    }

    /// Releases the key that a request reserved. A run is not undone by it.
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

    /// An operator sends clients elsewhere, or takes them again: the registry hears of it at once.
    pub(super) fn on_evacuation_changed(&mut self) {
        info!(self.log, "evacuation changed"; "evacuated" => self.status.is_evacuated());
        self.refresh_health();
    }

    fn set_idle_timeout(&self, idle_ms: f64) {
        self.tell_listener(ListenerMessage::SetIdleTimeout(idle_ms));
    }
}
