//! The faults of a fake worker pool.

use std::time::Duration;

/// Probabilities of the random faults of the link and of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerPoolFaults {
    /// Probability that a notice is written twice.
    pub duplicate: f64,
    /// Probability that a line is written in two pieces with a pause between them.
    pub split: f64,
    /// Probability that a notice with the unknown operation `chatter` is sent before a notice.
    pub chatter: f64,
    /// Probability that the link closes in the middle of a notice.
    pub reset: f64,
    /// Probability that a run fails.
    pub bad: f64,
    /// Probability that a run of a class with upstream calls makes a second call.
    pub second_call: f64,
    /// Time from the receipt of a command until it is carried out. When the worker pool breaks the link, the
    /// commands that are not carried out are lost.
    pub command_delay: Duration,
    /// Whether an upstream reply that arrives while its run works towards its next call is carried out once
    /// the run waits for that call; the commands behind it are held back as well.
    pub hold_early_replies: bool,
}
