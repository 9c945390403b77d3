//! The faults of a fake worker pool.

/// What goes wrong by chance on the link and in runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerPoolFaults {
    /// A notice is written twice, as a part of all.
    pub duplicate: f64,
    /// A notice is written in two pieces with a pause between.
    pub split: f64,
    /// A remark stands before a notice.
    pub chatter: f64,
    /// The link breaks after a notice, in the middle of it.
    pub reset: f64,
    /// A run fails.
    pub bad: f64,
}
