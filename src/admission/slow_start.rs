//! The estimated speed of an instance while it warms up.

use super::settings::Settings;

/// The warm-up state of an instance.
pub(super) struct SlowStart {
    started_at: f64,
    /// Whether the instance started cold.
    cold: bool,
    initial_speed: f64,
    warm_up_ms: f64,
}

impl SlowStart {
    /// Creates the warm-up state of an instance that starts at `now`.
    pub(super) fn new(now: f64, settings: &Settings) -> SlowStart {
        SlowStart {
            started_at: now,
            cold: settings.cold_start && settings.warm_up_ms > 0.0,
            initial_speed: settings.cold_start_speed,
            warm_up_ms: settings.warm_up_ms,
        }
    }

    /// Returns the time at which the instance started.
    pub(super) fn started_at(&self) -> f64 {
        self.started_at
    }

    /// Returns a lower bound of the speed at `now`, as a share of the warm speed, 0 to 1.
    pub(super) fn speed(&self, now: f64) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let elapsed_share = ((now - self.started_at) / self.warm_up_ms).clamp(0.0, 1.0);
        self.initial_speed + (1.0 - self.initial_speed) * elapsed_share
    }
}
