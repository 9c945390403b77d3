//! Steps of a random history.

use super::process::MAX_READ_DELAY_MS;
use proptest::prelude::*;

/// One step. Positions index the open attempts, modulo their number.
#[derive(Clone, Debug)]
pub enum Step {
    /// An attempt of the key arrives. It was received `age_ms` before.
    Arrive { key: u8, body: u8, age_ms: f64 },
    /// The open attempt at this position requests a run, or the result of the run that it duplicates.
    Run(usize),
    /// The run of the open attempt at this position ends.
    End { position: usize, outcome: u8 },
    /// The open attempt at this position is dropped, unless it is running.
    Drop(usize),
    /// Time advances by this many ms, and expired keys are removed.
    Advance(f64),
}

/// Returns a strategy for histories of fewer than `step_limit` steps.
pub fn steps(step_limit: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, 0u8..8, 0.0..MAX_READ_DELAY_MS)
            .prop_map(|(key, body, age_ms)| Step::Arrive { key, body: body / 7, age_ms }),
        4 => (0usize..8).prop_map(Step::Run),
        3 => (0usize..8, 0u8..4).prop_map(|(position, outcome)| Step::End { position, outcome }),
        1 => (0usize..8).prop_map(Step::Drop),
        2 => (1.0..400.0).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..step_limit)
}
