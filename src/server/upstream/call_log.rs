//! Log lines about failed calls. Repeated lines are counted instead of written.

use super::error::{CallError, CallErrorKind};
use crate::server::repeated_lines::{LineKind, Repeated, RepeatedLines};
use crate::server::supervisor::Panic;
use slog::{Logger, error, warn};
use std::cell::RefCell;

/// Kind of a log line. Lines of the same kind count as repetitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallLine {
    /// A call failed with an error of this kind.
    CallFailed(CallErrorKind),
    /// The task of a call panicked.
    TaskPanicked,
}

impl LineKind for CallLine {}

impl CallLine {
    fn message(self) -> &'static str {
        match self {
            CallLine::CallFailed(_) => "upstream call failed",
            CallLine::TaskPanicked => "upstream call task panicked",
        }
    }
}

/// Writes the log lines about failed calls.
pub(super) struct CallLog {
    log: Logger,
    lines: RefCell<RepeatedLines<CallLine>>,
}

impl CallLog {
    /// Returns a call log that writes to `log`.
    pub(super) fn new(log: Logger) -> CallLog {
        CallLog { log, lines: RefCell::default() }
    }

    /// Logs that a call got no reply.
    pub(super) fn call_failed(&self, now: f64, error: &CallError) {
        let line = CallLine::CallFailed(error.kind());
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "component" => "upstream", "error" => error.to_string());
        }
    }

    /// Logs that the task of a call panicked.
    pub(super) fn task_panicked(&self, now: f64, panic: &Panic) {
        let line = CallLine::TaskPanicked;
        if self.admits(now, line) {
            error!(self.log, "{}", line.message(); "component" => "upstream", "error" => %panic);
        }
    }

    /// Returns when the repetitions of a window are due to be logged next, ms.
    pub(super) fn next_repetitions_at(&self) -> Option<f64> {
        self.lines.borrow().next_end()
    }

    /// Logs the repetitions of the windows that have ended.
    pub(super) fn log_repetitions(&self, now: f64) {
        let ended = self.lines.borrow_mut().end_windows(now);
        ended.into_iter().for_each(|repeated| self.write_repeated(repeated));
    }

    /// Counts a line, and returns whether it is to be written.
    fn admits(&self, now: f64, line: CallLine) -> bool {
        self.log_repetitions(now);
        self.lines.borrow_mut().admit(now, line)
    }

    fn write_repeated(&self, repeated: Repeated<CallLine>) {
        let Repeated { kind, count } = repeated;
        match kind {
            CallLine::CallFailed(error) => warn!(self.log, "{}", kind.message();
                "component" => "upstream", "error" => %error, "repeated" => count),
            CallLine::TaskPanicked => error!(self.log, "{}", kind.message();
                "component" => "upstream", "repeated" => count),
        }
    }
}
