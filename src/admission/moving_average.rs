//! Moving averages: by reading and by time.

use super::timing::decay_per_timer;

/// Weight of a new reading in an average by reading.
pub(super) const READING_WEIGHT: f64 = 0.1;

/// Moves the average towards the reading by [`READING_WEIGHT`] of the difference.
pub(super) fn blend(average: &mut f64, reading: f64) {
    *average += (reading - *average) * READING_WEIGHT;
}

/// A mean over a span of time that does not depend on the rate of readings.
///
/// Sum and count decay alike. The mean counts one further reading of zero, so that it starts at zero and a
/// few readings do not dominate it.
#[derive(Default)]
pub(super) struct DecayingMean {
    sum: f64,
    count: f64,
}

impl DecayingMean {
    /// Adds a reading.
    pub(super) fn add(&mut self, reading: f64) {
        self.sum += reading;
        self.count += 1.0;
    }

    /// Decays sum and count by one timer period.
    pub(super) fn decay(&mut self, span_ms: f64) {
        let factor = decay_per_timer(span_ms);
        self.sum *= factor;
        self.count *= factor;
    }

    /// Returns the mean.
    pub(super) fn value(&self) -> f64 {
        self.sum / (self.count + 1.0)
    }

    /// Returns the mean with one further reading of `prior` in place of the one of zero.
    pub(super) fn value_with_prior(&self, prior: f64) -> f64 {
        (self.sum + prior) / (self.count + 1.0)
    }
}
