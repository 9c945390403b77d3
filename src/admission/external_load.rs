//! What another process on the same machine runs, while it hands its work over to this one.

use super::clamp::clamp_finite;
use super::request_totals::RunCounts;

/// Largest stated memory, kB.
const MAX_MEMORY_KB: f64 = 1e12;

/// The runs of another process, which take cores and memory from the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ExternalLoad {
    runs: usize,
    memory_kb: f64,
}

impl ExternalLoad {
    /// Returns the load of so many runs, which take that much memory, kB.
    pub(super) fn new(runs: usize, memory_kb: f64) -> ExternalLoad {
        ExternalLoad { runs, memory_kb: clamp_finite(memory_kb, 0.0, MAX_MEMORY_KB) }
    }

    /// Returns the memory that it takes, kB.
    pub(super) fn memory_kb(self) -> f64 {
        self.memory_kb
    }

    /// Returns the counts with these runs among the running ones.
    pub(super) fn added_to(self, counts: RunCounts) -> RunCounts {
        RunCounts { running: counts.running.saturating_add(self.runs), ..counts }
    }
}
