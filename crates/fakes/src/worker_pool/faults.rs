//! The faults of a fake worker pool.

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
}
