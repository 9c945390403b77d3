//! Decaying maximum of the event loop's lag, without clock or I/O. The caller passes in each observed lag,
//! the delay between the due time of some work and the time at which the loop ran it.

/// Half-life of an observed lag, ms.
const HALF_LIFE_MS: f64 = 30_000.0;

/// The greatest observed lag, decaying exponentially. Times are in ms of the caller's clock.
///
/// # Invariants
/// The decayed value is at least each observed lag, halved for each half-life since its observation, and at
/// most the greatest observed lag.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventLoopLag {
    greatest_ms: f64,
    observed_at: f64,
}

impl EventLoopLag {
    /// Records that at `now` the event loop ran work that was due `lag_ms` earlier.
    pub fn observe(&mut self, now: f64, lag_ms: f64) {
        *self = EventLoopLag { greatest_ms: self.greatest_ms(now).max(lag_ms), observed_at: now };
    }

    /// Returns the greatest lag, decayed to the time `now`, ms.
    pub fn greatest_ms(&self, now: f64) -> f64 {
        let half_lives = (now - self.observed_at).max(0.0) / HALF_LIFE_MS;
        self.greatest_ms * 0.5_f64.powf(half_lives)
    }
}
