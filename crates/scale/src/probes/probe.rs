//! The trait of a probe, and the options that probes run with.

use crate::slope::Slope;
use anyhow::Result;

/// Seeds used by every probe.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// Options that the probes run with.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeOptions {
    /// Whether to use few small sizes, one seed and one run.
    pub quick: bool,
    /// Whether to also make the runs at the target size that check an extrapolation and take minutes.
    pub large: bool,
}

impl ProbeOptions {
    /// Returns the seeds to use.
    pub fn seeds(&self) -> &'static [u64] {
        if self.quick { &SEEDS[..1] } else { &SEEDS }
    }

    /// Returns the number of runs at each size and seed: `full`, or 1 in quick mode.
    pub fn runs(&self, full: usize) -> usize {
        if self.quick { 1 } else { full }
    }

    /// Returns the sizes to use: `full`, or `quick` in quick mode.
    pub fn sizes(&self, full: &'static [u64], quick: &'static [u64]) -> &'static [u64] {
        if self.quick { quick } else { full }
    }
}

/// Measures a set of slopes of one part.
pub trait Probe {
    /// Returns the prefix of the ids of the probe's slopes, up to the first dot.
    fn prefix(&self) -> &'static str;

    /// Measures the probe's slopes.
    ///
    /// # Errors
    /// Returns an error if a load cannot be built or run.
    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>>;
}
