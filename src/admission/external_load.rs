//! The load of another process on the same machine during a handover to this one.

use super::clamp::clamp_finite;
use super::request_totals::RunCounts;

/// Upper bound of the reported memory, kB.
const MAX_MEMORY_KB: f64 = 1e12;

/// The runs of another process, which reduce the cores and memory available to the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ExternalLoad {
    runs: usize,
    memory_kb: f64,
}

impl ExternalLoad {
    /// Creates the load of a number of runs that take `memory_kb` in total.
    pub(super) fn new(runs: usize, memory_kb: f64) -> ExternalLoad {
        ExternalLoad { runs, memory_kb: clamp_finite(memory_kb, 0.0, MAX_MEMORY_KB) }
    }

    /// Returns the memory that the runs take, kB.
    pub(super) fn memory_kb(self) -> f64 {
        self.memory_kb
    }

    /// Returns `counts` with these runs added to the running requests.
    pub(super) fn added_to(self, counts: RunCounts) -> RunCounts {
        RunCounts { running: counts.running.saturating_add(self.runs), ..counts }
    }
}
