//! Records of keys, for the transfer of the table to another process.

use crate::entry::{Entry, Run, RunState};
use crate::outcome::AttemptId;
use std::rc::Rc;

/// Record of a key, without the attempts that have not run.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord<R> {
    /// The key.
    pub key: Rc<[u8]>,
    /// The position of the key's class.
    pub class: usize,
    /// The last run of the key, if there was one.
    pub run: Option<RunRecord<R>>,
    /// Attempts received up to this time, Unix ms, are duplicates of a superseded run.
    pub previous_window_end: Option<f64>,
}

/// Record of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord<R> {
    /// The number of the attempt in the process that exported the record.
    pub attempt: AttemptId,
    /// The hash of the attempt's body. Both processes use the same hash key.
    pub body_hash: u64,
    /// Attempts received up to this time, Unix ms, are duplicates of the run.
    pub window_end: f64,
    /// The state of the run.
    pub state: RunRecordState<R>,
}

/// State of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunRecordState<R> {
    /// The run is in progress in the process that began it.
    Running,
    /// The run failed, or its result was evicted.
    Failed,
    /// The run completed with this result.
    Completed(R),
}

/// Error of importing a key. The table is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// The table is full.
    #[error("can't import key {key}: the table is full with {max_keys} keys")]
    TableFull {
        /// The key, with unprintable bytes escaped.
        key: String,
        /// The maximum number of keys, [`crate::Bounds::keys`].
        max_keys: usize,
    },
    /// The table already has an entry for the key.
    #[error("can't import key {key}: the table already has this key")]
    KnownKey {
        /// The key, with unprintable bytes escaped.
        key: String,
    },
    /// The table has no class at the position given in the record.
    #[error("can't import key {key}: there is no class at position {class}")]
    UnknownClass {
        /// The key, with unprintable bytes escaped.
        key: String,
        /// The position of the class.
        class: usize,
    },
}

impl<R: Clone> KeyRecord<R> {
    /// Returns the record of a key, or `None` if the entry has only attempts that have not run.
    pub(crate) fn of_entry(key: &Rc<[u8]>, entry: &Entry<R>) -> Option<Self> {
        let previous_window_end = entry.previous_window_end;
        let previous_window_end = (previous_window_end > f64::NEG_INFINITY).then_some(previous_window_end);
        if entry.run.is_none() && previous_window_end.is_none() {
            return None;
        }
        let run = entry.run.as_ref().map(RunRecord::of_run);
        Some(KeyRecord { key: key.clone(), class: entry.class, run, previous_window_end })
    }

    /// Returns the entry for a record from another process. Its run gets the number `attempt`.
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
