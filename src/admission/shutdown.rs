//! The state of a requested shutdown.

use super::settings::Settings;

/// Margin before the end of the grace time after which arrivals are no longer run, ms.
const GRACE_MARGIN_MS: f64 = 1.0;

/// A shutdown that was requested and has not completed.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    requested_at: f64,
    stop_at: f64,
    grace_ms: f64,
}

impl Shutdown {
    /// Creates a shutdown that is requested at `now`.
    pub(super) fn new(now: f64, stop_at: f64, settings: &Settings) -> Shutdown {
        Shutdown { requested_at: now, stop_at, grace_ms: settings.drain_grace_ms }
    }

    /// Returns the time at which the process stops.
    pub(super) fn stop_at(&self) -> f64 {
        self.stop_at
    }

    /// Returns the latest arrival time of a request that may still be run.
    pub(super) fn latest_arrival(&self) -> f64 {
        self.requested_at + self.grace_ms - GRACE_MARGIN_MS
    }

    /// Returns whether a request that arrived at `arrived_at` is too late to be run.
    pub(super) fn is_after_grace(&self, arrived_at: f64) -> bool {
        arrived_at > self.latest_arrival()
    }
}
