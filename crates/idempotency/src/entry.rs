//! Entry of the table for one key.

use crate::outcome::{AttemptId, Lookup};

/// State of a run, with the result for its duplicates.
pub(crate) enum RunState<R> {
    Running,
    /// The run failed, or its result was evicted.
    Failed,
    Completed(R),
}

/// An attempt that was run.
pub(crate) struct Run<R> {
    pub(crate) attempt: AttemptId,
    /// The hash of the attempt's body, which is the same for all its duplicates.
    pub(crate) body_hash: u64,
    /// Attempts received up to this time are duplicates of this run.
    pub(crate) window_end: f64,
    pub(crate) state: RunState<R>,
    /// Whether another process began the run.
    pub(crate) is_imported: bool,
    /// Attempts that wait for the end of the run.
    pub(crate) waiters: Vec<AttemptId>,
}

impl<R> Run<R> {
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, RunState::Running)
    }
}

impl<R: AsRef<[u8]>> Run<R> {
    /// Returns the size of the cached result in bytes, or 0 if there is none.
    pub(crate) fn result_bytes(&self) -> usize {
        match &self.state {
            RunState::Completed(result) => result.as_ref().len(),
            RunState::Running | RunState::Failed => 0,
        }
    }
}

/// Reservation of a key by an attempt that has not run.
#[derive(Clone, Copy)]
pub(crate) struct Reservation {
    pub(crate) attempt: AttemptId,
    pub(crate) body_hash: u64,
    pub(crate) window_end: f64,
}

/// State of a key.
///
/// A reservation doesn't replace the previous run, because attempts that are read late can still fall within
/// the window of that run.
pub(crate) struct Entry<R> {
    pub(crate) class: usize,
    pub(crate) run: Option<Run<R>>,
    pub(crate) reservation: Option<Reservation>,
    /// Attempts received up to this time are duplicates of a superseded run.
    pub(crate) previous_window_end: f64,
    /// Number of attempts that have not finished. The entry is kept while there are any, since each may still
    /// request a run.
    pub(crate) open_attempts: usize,
    /// Whether the entry was imported from another process that may still forward attempts of this key.
    pub(crate) is_imported: bool,
}

impl<R> Entry<R> {
    pub(crate) fn new(class: usize) -> Self {
        Entry {
            class,
            run: None,
            reservation: None,
            previous_window_end: f64::NEG_INFINITY,
            open_attempts: 0,
            is_imported: false,
        }
    }

    /// Returns whether an attempt received at `received_at` falls within the window of the last run.
    pub(crate) fn is_in_window_of_run(&self, received_at: f64) -> bool {
        self.run.as_ref().is_some_and(|run| received_at <= run.window_end)
    }

    /// Returns whether the result of the last run is cached.
    pub(crate) fn has_result(&self) -> bool {
        self.run.as_ref().is_some_and(|run| matches!(run.state, RunState::Completed(_)))
    }

    /// Returns whether the last run was of `attempt` and its result is cached.
    pub(crate) fn has_result_of(&self, attempt: AttemptId) -> bool {
        self.has_result() && self.run.as_ref().is_some_and(|run| run.attempt == attempt)
    }

    /// Returns whether the entry has to be kept: an attempt is open, or an attempt received within one of the
    /// entry's windows can still be read, at most `max_read_delay_ms` after its receipt, or forwarded by
    /// another process.
    pub(crate) fn is_needed(&self, now: f64, max_read_delay_ms: f64) -> bool {
        let may_be_forwarded = self.is_imported && self.window_end() > f64::NEG_INFINITY;
        self.open_attempts > 0 || may_be_forwarded || now <= self.window_end() + max_read_delay_ms
    }

    /// Returns the end of the latest window of a run. Attempts received up to this time may not run.
    pub(crate) fn window_end(&self) -> f64 {
        match &self.run {
            Some(run) => run.window_end.max(self.previous_window_end),
            None => self.previous_window_end,
        }
    }

    /// Returns whether the entry holds no information.
    pub(crate) fn is_empty(&self) -> bool {
        self.open_attempts == 0
            && self.run.is_none()
            && self.reservation.is_none()
            && self.previous_window_end == f64::NEG_INFINITY
    }

    /// Classifies an attempt with this body that was received at `received_at`.
    pub(crate) fn lookup(&self, body_hash: u64, received_at: f64) -> Lookup {
        let duplicate_of = |attempt, expected_hash| {
            if body_hash == expected_hash { Lookup::DuplicateOf(attempt) } else { Lookup::BodyMismatch }
        };
        match (&self.run, &self.reservation) {
            (Some(run), _) if received_at <= run.window_end => duplicate_of(run.attempt, run.body_hash),
            _ if received_at <= self.previous_window_end => Lookup::Expired,
            // The window of a reservation is not checked, because the reserving attempt may still run at any
            // later time.
            (_, Some(reservation)) => duplicate_of(reservation.attempt, reservation.body_hash),
            _ => Lookup::New,
        }
    }
}
