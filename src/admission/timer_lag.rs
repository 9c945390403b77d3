//! How late the timer comes: on a machine that is short of time on the cores, everything that is due is late
//! by as much.

use super::timing::{SYMPTOM_SPAN_MS, TIMER_PERIOD_MS, decay_per_timer};

/// Lateness past which it is not made up for, ms: answers would come far too early once the lag is over.
const MAX_LAG_MS: f64 = 500.0;
/// Lateness that is no lag, ms: the timer waits for the gauges.
const USUAL_LATENESS_MS: f64 = 20.0;
/// Lateness that counts at once, ms. A later timer may follow a suspension of the process, which is over
/// then, unless the timer before was late as well.
const AT_ONCE_MS: f64 = 100.0;

/// The lag of the timer: its greatest lateness of late.
#[derive(Default)]
pub(super) struct TimerLag {
    /// When the last timer came; none before the first.
    last_timer_at: Option<f64>,
    last_late_ms: f64,
    lag_ms: f64,
}

impl TimerLag {
    /// Takes a timer.
    pub(super) fn record_timer(&mut self, now: f64) {
        let Some(last_timer_at) = self.last_timer_at.replace(now) else { return };
        let late_ms = now - last_timer_at - TIMER_PERIOD_MS;
        let is_lag = late_ms > USUAL_LATENESS_MS;
        let counted_ms = if is_lag { late_ms.min(self.last_late_ms.max(AT_ONCE_MS)) } else { 0.0 };
        let before_ms = self.lag_ms * decay_per_timer(SYMPTOM_SPAN_MS);
        self.lag_ms = before_ms.max(counted_ms).min(MAX_LAG_MS);
        self.last_late_ms = late_ms;
    }

    /// Returns the lag, ms.
    pub(super) fn ms(&self) -> f64 {
        self.lag_ms
    }
}
