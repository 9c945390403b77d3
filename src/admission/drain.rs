//! The handler of a requested shutdown.

use super::action::Action;
use super::clamp::clamp_finite;
use super::controller::AdmissionController;
use super::shutdown::Shutdown;

impl AdmissionController {
    /// Handles the request to shut down: caps all deadlines at `stop_at`, reports bad health and advertises a
    /// share of 0, so that clients use other instances.
    pub(super) fn on_drain(&mut self, now: f64, stop_at: f64, actions: &mut Vec<Action>) {
        let stop_at = clamp_finite(stop_at, now, f64::MAX);
        self.shutdown = Some(Shutdown::new(now, stop_at, &self.settings));
        self.requests.cap_deadlines(stop_at);
        actions.push(Action::SetHealth(false));
        self.backpressure.advertise_share(0.0, actions);
    }
}
