//! Results returned by the table, and the outcome of a run reported to it.

/// Number of an attempt, unique within the process.
pub type AttemptId = u64;

/// Error of requesting a run of a key within the window of another run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a run of this key was requested within the window of an earlier run")]
pub struct DuplicateRun;

/// Classification of an attempt by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The first attempt of the key, or the first one since the window of the last run ended.
    New,
    /// The attempt is a duplicate of the contained attempt.
    DuplicateOf(AttemptId),
    /// The attempt was received within the window of a run whose result is no longer known. It may not run.
    Expired,
    /// The key is in use with another body, so the attempt belongs to a different request.
    BodyMismatch,
}

/// Outcome of reusing a result for a duplicate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReuseOutcome<R> {
    /// The run has ended. Contains its result, or `None` if the run failed.
    Ready(Option<R>),
    /// The run has not ended. The attempt waits until [`crate::IdempotencyTable::finish_run`] returns it.
    Pending,
    /// The original attempt was dropped before it ran.
    NotRun,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult<R> {
    /// The run completed with this result.
    Completed(R),
    /// The run failed or was stopped. It may have had side effects.
    Failed,
    /// The run certainly never began.
    NotStarted,
}

/// A run whose outcome will never be known, and the attempts that waited for it. These attempts fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// The attempt that was run.
    pub attempt: AttemptId,
    /// The waiting attempts, in the order in which they began to wait.
    pub waiters: Vec<AttemptId>,
}

/// The attempts that waited for a run, and the result for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun<R> {
    /// The waiting attempts, in the order in which they began to wait.
    pub waiters: Vec<AttemptId>,
    /// The result for all waiting attempts, or `None` if the run failed.
    pub result: Option<R>,
}
