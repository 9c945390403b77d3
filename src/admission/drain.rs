//! A requested shutdown.

use super::action::Action;
use super::clamp::clamp_finite;
use super::controller::AdmissionController;
use super::shutdown::Shutdown;

impl AdmissionController {
    /// Takes the request to shut down: all requests are answered by `stop_at`, and clients are sent
    /// elsewhere.
    pub(super) fn on_drain(&mut self, now: f64, stop_at: f64, actions: &mut Vec<Action>) {
        let stop_at = clamp_finite(stop_at, now, f64::MAX);
        self.shutdown = Some(Shutdown::new(now, stop_at, &self.settings));
        self.requests.cap_deadlines(stop_at);
        actions.push(Action::SetHealth(false));
        self.backpressure.advertise_share(0.0, actions);
    }
}
