//! What the table answers, and what it is told of a run.

/// The number of an attempt, unique for the life of the process.
pub type AttemptId = u64;

/// A run of a key was requested within the window of another run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a run of this key was requested within the window of an earlier run")]
pub struct DuplicateRun;

/// What an attempt is, by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The first attempt, or the first one since the window ended.
    New,
    /// A duplicate of this attempt.
    DuplicateOf(AttemptId),
    /// Received in the window of a run whose result is no longer known: it may not run.
    Expired,
    /// The key is in use with another body: this is no attempt of the same request.
    BodyMismatch,
}

/// What a duplicate gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReuseOutcome<R> {
    /// The result of the run, or none if it failed.
    Ready(Option<R>),
    /// The run has not ended; [`crate::IdempotencyTable::finish_run`] names the attempt.
    Pending,
    /// The attempt that it duplicates was dropped before it ran.
    NotRun,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult<R> {
    /// With a result.
    Completed(R),
    /// It failed or was stopped; it may have had its effect.
    Failed,
    /// It is proved that it never began.
    NotStarted,
}

/// A run whose end will never be known, and the attempts that waited for it: they fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// The attempt that was run.
    pub attempt: AttemptId,
    /// The waiting attempts, in the order of their arrival.
    pub waiters: Vec<AttemptId>,
}

/// The attempts that waited for a run, and what they get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun<R> {
    /// The waiting attempts, in the order of their arrival.
    pub waiters: Vec<AttemptId>,
    /// The result for all of them, or none for a failure.
    pub result: Option<R>,
}
