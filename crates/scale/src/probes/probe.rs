//! What a probe is, and how probes run.

use crate::slope::Slope;
use anyhow::Result;

/// The seeds of every probe.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// How the probes run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeOptions {
    /// Few small sizes, one seed, one run.
    pub quick: bool,
    /// Also the run at the size of the target that checks an extrapolation, where it takes minutes.
    pub large: bool,
}

impl ProbeOptions {
    /// The seeds to use.
    pub fn seeds(&self) -> &'static [u64] {
        if self.quick { &SEEDS[..1] } else { &SEEDS }
    }

    /// How many runs at each size and seed, of `full`.
    pub fn runs(&self, full: usize) -> usize {
        if self.quick { 1 } else { full }
    }

    /// The sizes to use: all of `full`, or `quick`.
    pub fn sizes(&self, full: &'static [u64], quick: &'static [u64]) -> &'static [u64] {
        if self.quick { quick } else { full }
    }
}

/// A set of slopes of one part.
pub trait Probe {
    /// What the ids of its slopes begin with, up to the first point.
    fn prefix(&self) -> &'static str;

    /// Measures its slopes.
    ///
    /// # Errors
    /// If a load cannot be built or run.
    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>>;
}
