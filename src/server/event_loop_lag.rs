//! The greatest lag of the event loop that was seen lately. It has no clock and no I/O: its caller tells how late the loop
//! came to something that was due.

/// Time in which half of a lag is forgotten, ms.
const HALF_LIFE_MS: f64 = 30_000.0;

/// The greatest lag, which decays. Times are in ms of the caller's clock.
///
/// # Invariants
/// What is remembered is at least each lag that was observed, halved for each half-life since, and at most the greatest.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventLoopLag {
    greatest_ms: f64,
    as_of: f64,
}

impl EventLoopLag {
    /// Records that the event loop came to its work at `now`, `late_ms` after it was due.
    pub fn observe(&mut self, now: f64, late_ms: f64) {
        *self = EventLoopLag { greatest_ms: self.greatest_ms(now).max(late_ms), as_of: now };
    }

    /// Returns the greatest lag, as much of it as is remembered at `now`, ms.
    pub fn greatest_ms(&self, now: f64) -> f64 {
        let half_lives = (now - self.as_of).max(0.0) / HALF_LIFE_MS;
        self.greatest_ms * 0.5_f64.powf(half_lives)
    }
}
