//! The priority threshold below which arrivals are rejected while the instance is overloaded.

/// Change of the threshold with each timer, as a quantile of the traffic.
const THRESHOLD_STEP: f64 = 0.01;
/// Highest threshold, as a quantile of the traffic within quotas; above it, the order of the queue decides
/// which requests run.
pub(super) const MAX_THRESHOLD: f64 = 0.5;

/// The priority threshold, which rises while the instance is overloaded and falls otherwise.
#[derive(Default)]
pub(super) struct PriorityThreshold {
    value: f64,
}

impl PriorityThreshold {
    /// Returns the priority quantile, 0 to 1, below which arrivals are rejected.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Raises or lowers the threshold for one timer period, up to `max`.
    pub(super) fn step(&mut self, overloaded: bool, max: f64) {
        let step = if overloaded { THRESHOLD_STEP } else { -THRESHOLD_STEP };
        self.value = (self.value + step).clamp(0.0, max);
    }
}
