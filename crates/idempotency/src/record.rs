//! What one process tells another of a key, when the table moves.

use crate::entry::{Entry, Run, RunState};
use crate::outcome::AttemptId;
use std::rc::Rc;

/// What is known of a key, without the attempts that have not run.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord<R> {
    /// The key.
    pub key: Rc<[u8]>,
    /// The position of its class.
    pub class: usize,
    /// The last run of the key.
    pub run: Option<RunRecord<R>>,
    /// Attempts received up to this time, Unix ms, are duplicates of a run that another run superseded.
    pub previous_window_end: Option<f64>,
}

/// What is known of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord<R> {
    /// The number of its attempt in the process that runs it.
    pub attempt: AttemptId,
    /// The hash of its body, made with the same hash key in both processes.
    pub body_hash: u64,
    /// Attempts received up to this time, Unix ms, are its duplicates.
    pub window_end: f64,
    /// Its state.
    pub state: RunRecordState<R>,
}

/// The state of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunRecordState<R> {
    /// It goes on in the process that began it.
    Running,
    /// It failed, or its result was evicted.
    Failed,
    /// It ended with this result.
    Completed(R),
}

/// A key could not be loaded. The table is as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// The table is full.
    #[error("key {key}: the table is full with {max_keys} keys")]
    TableFull {
        /// The key, with its unprintable bytes escaped.
        key: String,
        /// [`crate::Bounds::keys`].
        max_keys: usize,
    },
    /// The table knows the key already.
    #[error("key {key} is known already")]
    KnownKey {
        /// The key, with its unprintable bytes escaped.
        key: String,
    },
    /// The class of the key is none of the table's classes.
    #[error("key {key}: no class has the position {class}")]
    UnknownClass {
        /// The key, with its unprintable bytes escaped.
        key: String,
        /// The position of the class.
        class: usize,
    },
}

impl<R: Clone> KeyRecord<R> {
    /// Returns the record of a key, or `None` if only attempts that have not run are known of it.
    pub(crate) fn of_entry(key: &Rc<[u8]>, entry: &Entry<R>) -> Option<Self> {
        let previous_window_end = entry.previous_window_end;
        let previous_window_end = (previous_window_end > f64::NEG_INFINITY).then_some(previous_window_end);
        if entry.run.is_none() && previous_window_end.is_none() {
            return None;
        }
        let run = entry.run.as_ref().map(RunRecord::of_run);
        Some(KeyRecord { key: key.clone(), class: entry.class, run, previous_window_end })
    }

    /// Returns the entry for a record that came from another process. Its run is known as `attempt`.
    pub(crate) fn into_entry(self, attempt: AttemptId) -> Entry<R> {
        let mut entry = Entry::new(self.class);
        entry.run = self.run.map(|run| run.into_run(attempt));
        entry.previous_window_end = self.previous_window_end.unwrap_or(f64::NEG_INFINITY);
        entry.is_imported = true;
        entry
    }
}

impl<R: Clone> RunRecord<R> {
    fn of_run(run: &Run<R>) -> Self {
        let state = match &run.state {
            RunState::Running => RunRecordState::Running,
            RunState::Failed => RunRecordState::Failed,
            RunState::Completed(result) => RunRecordState::Completed(result.clone()),
        };
        RunRecord { attempt: run.attempt, body_hash: run.body_hash, window_end: run.window_end, state }
    }

    fn into_run(self, attempt: AttemptId) -> Run<R> {
        let state = match self.state {
            RunRecordState::Running => RunState::Running,
            RunRecordState::Failed => RunState::Failed,
            RunRecordState::Completed(result) => RunState::Completed(result),
        };
        let (body_hash, window_end) = (self.body_hash, self.window_end);
        Run { attempt, body_hash, window_end, state, is_imported: true, waiters: Vec::new() }
    }
}
