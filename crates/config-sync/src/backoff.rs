//! Capped exponential backoff with full jitter: each delay is drawn uniformly from zero to a bound that
//! doubles with each failure, so that clients that lost the same server do not reconnect at the same time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bounds of the delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Upper bound of the first delay, ms.
    pub base_ms: u64,
    /// Cap of the bound of all later delays, ms.
    pub cap_ms: u64,
}

impl Default for BackoffSettings {
    fn default() -> BackoffSettings {
        BackoffSettings { base_ms: 100, cap_ms: 3_000 }
    }
}

/// Backoff state of one client.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff without failures. The jitter depends on `seed` alone.
    pub fn new(settings: BackoffSettings, seed: u64) -> Backoff {
        Backoff { settings, failures: 0, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Counts a failure and returns a random delay before the next attempt, ms.
    pub fn next_delay_ms(&mut self) -> u64 {
        let bound = self.bound_ms();
        self.failures = self.failures.saturating_add(1);
        self.jitter_ms(bound)
    }

    /// Returns the upper bound of the next delay, ms.
    pub fn bound_ms(&self) -> u64 {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        self.settings.base_ms.saturating_mul(factor).min(self.settings.cap_ms)
    }

    /// Returns a number of milliseconds drawn uniformly from 0 to `bound`, both included, without counting a
    /// failure.
    pub fn jitter_ms(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..=bound)
    }

    /// Resets the failure count after a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
