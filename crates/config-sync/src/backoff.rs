//! Capped exponential back-off with full jitter: each delay is drawn evenly from zero to a bound that doubles with each
//! failure, so that clients that lost the same server do not come back together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bounds of the delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The bound of the first delay, ms.
    pub base_ms: u64,
    /// The bound that no later one exceeds, ms.
    pub cap_ms: u64,
}

impl Default for BackoffSettings {
    fn default() -> BackoffSettings {
        BackoffSettings { base_ms: 100, cap_ms: 3_000 }
    }
}

/// The state of one client's back-off.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Without failures; the seed alone decides the jitter.
    pub fn new(settings: BackoffSettings, seed: u64) -> Backoff {
        Backoff { settings, failures: 0, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Counts a failure and draws the delay before the next attempt, ms.
    pub fn next_delay_ms(&mut self) -> u64 {
        let bound = self.bound_ms();
        self.failures = self.failures.saturating_add(1);
        self.jitter_ms(bound)
    }

    /// The bound of the next delay, ms.
    pub fn bound_ms(&self) -> u64 {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        self.settings.base_ms.saturating_mul(factor).min(self.settings.cap_ms)
    }

    /// A number of milliseconds drawn evenly from 0 to `bound`, both included; no failure is counted.
    pub fn jitter_ms(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..=bound)
    }

    /// Forgets the failures, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
