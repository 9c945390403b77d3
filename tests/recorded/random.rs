//! Random integers from the raw words of ChaCha8, so that the streams do not depend on how a library draws
//! from ranges.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub struct Random(ChaCha8Rng);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number below `n`, which must be above 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n
    }

    /// Returns `true` with a probability of `percent` in a hundred.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize]
    }
}
