//! What is known of one key.

use crate::outcome::{AttemptId, Lookup};

/// The state of a run, with what its duplicates get.
pub(crate) enum RunState<R> {
    Running,
    /// It failed, or its result was evicted.
    Failed,
    Completed(R),
}

/// An attempt that was run.
pub(crate) struct Run<R> {
    pub(crate) attempt: AttemptId,
    /// The hash of its body, which all its duplicates share.
    pub(crate) body_hash: u64,
    /// Attempts received up to this time are its duplicates.
    pub(crate) window_end: f64,
    pub(crate) state: RunState<R>,
    /// Whether another process began it.
    pub(crate) is_imported: bool,
    /// Attempts that wait for its end.
    pub(crate) waiters: Vec<AttemptId>,
}

impl<R> Run<R> {
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, RunState::Running)
    }
}

impl<R: AsRef<[u8]>> Run<R> {
    /// Returns the bytes of the cached result, 0 without one.
    pub(crate) fn result_bytes(&self) -> usize {
        match &self.state {
            RunState::Completed(result) => result.as_ref().len(),
            RunState::Running | RunState::Failed => 0,
        }
    }
}

/// An attempt that holds its key and has not run.
#[derive(Clone, Copy)]
pub(crate) struct Reservation {
    pub(crate) attempt: AttemptId,
    pub(crate) body_hash: u64,
    pub(crate) window_end: f64,
}

/// What is known of a key.
///
/// A reservation stands beside the run before it: attempts that are read late can still fall in the window of that run.
pub(crate) struct Entry<R> {
    pub(crate) class: usize,
    pub(crate) run: Option<Run<R>>,
    pub(crate) reservation: Option<Reservation>,
    /// Attempts received up to this time are duplicates of a run that another run superseded.
    pub(crate) previous_window_end: f64,
    /// Attempts that have not finished. The entry stays while there are any, since each may still ask to run.
    pub(crate) open_attempts: usize,
    /// Whether it came from another process that may still pass on attempts of it.
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

    /// Returns whether the attempt received at `received_at` falls in the window of the last run.
    pub(crate) fn is_in_window_of_run(&self, received_at: f64) -> bool {
        self.run.as_ref().is_some_and(|run| received_at <= run.window_end)
    }

    /// Returns whether there is a result of the last run.
    pub(crate) fn has_result(&self) -> bool {
        self.run.as_ref().is_some_and(|run| matches!(run.state, RunState::Completed(_)))
    }

    /// Returns whether this attempt was the last to be run, and there is its result.
    pub(crate) fn has_result_of(&self, attempt: AttemptId) -> bool {
        self.has_result() && self.run.as_ref().is_some_and(|run| run.attempt == attempt)
    }

    /// Returns whether an attempt of its windows is open, or can still come within `max_read_delay_ms` of its receipt.
    pub(crate) fn is_needed(&self, now: f64, max_read_delay_ms: f64) -> bool {
        let may_be_passed_on = self.is_imported && self.window_end() > f64::NEG_INFINITY;
        self.open_attempts > 0 || may_be_passed_on || now <= self.window_end() + max_read_delay_ms
    }

    /// Returns the time up to which received attempts may no longer run.
    pub(crate) fn window_end(&self) -> f64 {
        match &self.run {
            Some(run) => run.window_end.max(self.previous_window_end),
            None => self.previous_window_end,
        }
    }

    /// Returns whether nothing is known of the key.
    pub(crate) fn is_blank(&self) -> bool {
        self.open_attempts == 0
            && self.run.is_none()
            && self.reservation.is_none()
            && self.previous_window_end == f64::NEG_INFINITY
    }

    /// Returns what an attempt with this body is that was received at `received_at`.
    pub(crate) fn lookup(&self, body_hash: u64, received_at: f64) -> Lookup {
        let duplicate_of = |attempt, expected_hash| {
            if body_hash == expected_hash { Lookup::DuplicateOf(attempt) } else { Lookup::BodyMismatch }
        };
        match (&self.run, &self.reservation) {
            (Some(run), _) if received_at <= run.window_end => duplicate_of(run.attempt, run.body_hash),
            _ if received_at <= self.previous_window_end => Lookup::Expired,
            // A reservation has no end of its own: it may still run, however late.
            (_, Some(reservation)) => duplicate_of(reservation.attempt, reservation.body_hash),
            _ => Lookup::New,
        }
    }
}
