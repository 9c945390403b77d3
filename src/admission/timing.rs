//! The period of the timer and the averaging time spans that several components of the controller share.

/// Period of the controller's timer, ms.
pub(super) const TIMER_PERIOD_MS: f64 = 50.0;
/// Token of the controller's timer.
pub(super) const TIMER_TOKEN: u64 = 1;
/// Time over which the rate of arrivals and the gaps between signs of progress are averaged, ms.
pub(super) const RATE_SPAN_MS: f64 = 10_000.0;
/// Time over which the age of arrivals and the share of failed runs are averaged, ms.
pub(super) const SYMPTOM_SPAN_MS: f64 = 1000.0;

/// Returns the factor by which an average over `span_ms` decays in one timer period.
pub(super) fn decay_per_timer(span_ms: f64) -> f64 {
    (-TIMER_PERIOD_MS / span_ms).exp()
}
