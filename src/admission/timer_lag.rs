//! The lag of the timer. On a machine without idle CPU time, everything that is due is late by about the same
//! time.

use super::timing::{SYMPTOM_SPAN_MS, TIMER_PERIOD_MS, decay_per_timer};

/// Upper bound of the lag, ms; with a larger one, requests would be answered far too early once the lag is
/// over.
const MAX_LAG_MS: f64 = 500.0;
/// Usual delay of a timer, which waits for the gauges, ms; a delay up to this is not counted as lag.
const USUAL_DELAY_MS: f64 = 20.0;
/// Largest delay that a single timer contributes, ms, unless the timer before it was delayed by more.
///
/// A larger delay of a single timer may come from a suspension of the process, which is then already over.
const MAX_SINGLE_DELAY_MS: f64 = 100.0;

/// The lag of the timer: the decaying maximum of its recent delays.
#[derive(Default)]
pub(super) struct TimerLag {
    /// Time of the last timer; `None` before the first.
    last_timer_at: Option<f64>,
    last_delay_ms: f64,
    lag_ms: f64,
}

impl TimerLag {
    /// Records a timer.
    pub(super) fn record_timer(&mut self, now: f64) {
        let Some(last_timer_at) = self.last_timer_at.replace(now) else { return };
        let delay_ms = now - last_timer_at - TIMER_PERIOD_MS;
        let is_lag = delay_ms > USUAL_DELAY_MS;
        let counted_ms = if is_lag { delay_ms.min(self.last_delay_ms.max(MAX_SINGLE_DELAY_MS)) } else { 0.0 };
        let decayed_ms = self.lag_ms * decay_per_timer(SYMPTOM_SPAN_MS);
        self.lag_ms = decayed_ms.max(counted_ms).min(MAX_LAG_MS);
        self.last_delay_ms = delay_ms;
    }

    /// Returns the lag, ms.
    pub(super) fn ms(&self) -> f64 {
        self.lag_ms
    }
}
