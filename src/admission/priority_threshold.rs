//! The priority threshold, under which arrivals are rejected while the instance is overloaded.

/// Step of the threshold with each timer, as a quantile of the traffic.
const THRESHOLD_STEP: f64 = 0.01;
/// Highest threshold, as a quantile of the traffic within quotas; the queue's order decides on the rest.
pub(super) const MAX_THRESHOLD: f64 = 0.5;

/// A threshold that rises while the instance is overloaded and falls otherwise.
#[derive(Default)]
pub(super) struct PriorityThreshold {
    value: f64,
}

impl PriorityThreshold {
    /// Returns the priority quantile under which arrivals are rejected, 0 to 1.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Steps the threshold by one timer period, to `max` at the most.
    pub(super) fn step(&mut self, overloaded: bool, max: f64) {
        let step = if overloaded { THRESHOLD_STEP } else { -THRESHOLD_STEP };
        self.value = (self.value + step).clamp(0.0, max);
    }
}
