//! The steps of a random history.

use super::process::MAX_READ_DELAY_MS;
use proptest::prelude::*;

/// One step. Positions count the open attempts, modulo their number.
#[derive(Clone, Debug)]
pub enum Step {
    /// An attempt of that key with that body arrives, received that many milliseconds ago.
    Arrive { key: u8, body: u8, ago: f64 },
    /// The open attempt at this position asks to run, or for the result that it duplicates.
    Run(usize),
    /// The run of the open attempt at this position ends.
    End { at: usize, how: u8 },
    /// The open attempt at this position is dropped, unless it runs.
    Drop(usize),
    /// Time advances, ms, and expired keys are removed.
    Advance(f64),
}

/// Histories of at most that many steps.
pub fn steps(max_steps: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, 0u8..8, 0.0..MAX_READ_DELAY_MS)
            .prop_map(|(key, body, ago)| Step::Arrive { key, body: body / 7, ago }),
        4 => (0usize..8).prop_map(Step::Run),
        3 => (0usize..8, 0u8..4).prop_map(|(at, how)| Step::End { at, how }),
        1 => (0usize..8).prop_map(Step::Drop),
        2 => (1.0..400.0).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..max_steps)
}
