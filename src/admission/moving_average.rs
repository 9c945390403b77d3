//! Moving averages with a weight per reading and with a decay over time.

use super::timing::decay_per_timer;

/// Weight of a new reading in an exponential moving average.
pub(super) const READING_WEIGHT: f64 = 0.1;

/// Updates an exponential moving average with a reading of weight [`READING_WEIGHT`].
pub(super) fn blend(average: &mut f64, reading: f64) {
    *average += (reading - *average) * READING_WEIGHT;
}

/// A mean that decays over a span of time, whatever the rate of readings.
///
/// The sum and the count decay by the same factor. The mean includes one additional reading of zero, so that
/// it starts at zero and is not dominated by a few readings.
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

    /// Decays the sum and the count by one timer period.
    pub(super) fn decay(&mut self, span_ms: f64) {
        let factor = decay_per_timer(span_ms);
        self.sum *= factor;
        self.count *= factor;
    }

    /// Returns the mean.
    pub(super) fn value(&self) -> f64 {
        self.sum / (self.count + 1.0)
    }

    /// Returns the mean with an additional reading of `prior` instead of zero.
    pub(super) fn value_with_prior(&self, prior: f64) -> f64 {
        (self.sum + prior) / (self.count + 1.0)
    }
}
