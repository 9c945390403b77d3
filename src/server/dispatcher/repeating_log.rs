//! Rate-limited log lines of the dispatcher: lines that each request or command may cause are counted when
//! they repeat.

use crate::server::messages::RejectedCommand;
use crate::server::repeated_lines::{LineKind, Repeated, RepeatedLines};
use dunlinspread_idempotency::DuplicateRun;
use slog::{Logger, info, warn};

/// Maximum number of lines of one kind that are written in a window.
const LINES_PER_WINDOW: u32 = 5;

/// Kind of a line; lines of the same kind count as repetitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatcherLine {
    /// The admission controller logged a note.
    ControllerNote,
    /// The worker pool rejected a command of this kind.
    RejectedCommand(&'static str),
    /// The check at the start of a run prevented a second run of a key.
    RunPrevented,
}

impl LineKind for DispatcherLine {
    fn lines_per_window(self) -> u32 {
        LINES_PER_WINDOW
    }
}

impl DispatcherLine {
    fn message(self) -> &'static str {
        match self {
            DispatcherLine::ControllerNote => "admission controller",
            DispatcherLine::RejectedCommand(_) => "worker pool rejected a command",
            DispatcherLine::RunPrevented => "run prevented",
        }
    }
}

/// Writes the rate-limited lines of the dispatcher.
pub(super) struct RepeatingLog {
    log: Logger,
    lines: RepeatedLines<DispatcherLine>,
}

impl RepeatingLog {
    /// Returns a writer to `log`.
    pub(super) fn new(log: Logger) -> RepeatingLog {
        RepeatingLog { log, lines: RepeatedLines::default() }
    }

    /// Logs a note of the admission controller.
    pub(super) fn log_controller_note(&mut self, now: f64, text: &str) {
        let line = DispatcherLine::ControllerNote;
        if self.count_line(now, line) {
            info!(self.log, "{}", line.message(); "text" => text);
        }
    }

    /// Logs that the worker pool rejected a command.
    pub(super) fn log_rejected_command(&mut self, now: f64, command: &RejectedCommand) {
        let line = DispatcherLine::RejectedCommand(command.kind());
        if self.count_line(now, line) {
            warn!(self.log, "{}", line.message(); "command" => %command);
        }
    }

    /// Logs that a second run of a key was prevented.
    pub(super) fn log_run_prevented(&mut self, now: f64, reason: &DuplicateRun) {
        let line = DispatcherLine::RunPrevented;
        if self.count_line(now, line) {
            warn!(self.log, "{}", line.message(); "reason" => %reason);
        }
    }

    /// Logs the number of repetitions for each window that has ended.
    pub(super) fn log_repeated(&mut self, now: f64) {
        for repeated in self.lines.end_windows(now) {
            self.write_repeated(repeated);
        }
    }

    /// Logs the number of repetitions for all windows. Called before the process ends.
    pub(super) fn log_all_repeated(&mut self) {
        for repeated in self.lines.end_all() {
            self.write_repeated(repeated);
        }
    }

    /// Counts a line, and returns whether to write it.
    fn count_line(&mut self, now: f64, line: DispatcherLine) -> bool {
        self.log_repeated(now);
        self.lines.admit(now, line)
    }

    fn write_repeated(&self, repeated: Repeated<DispatcherLine>) {
        let Repeated { kind, count } = repeated;
        match kind {
            DispatcherLine::ControllerNote => info!(self.log, "{}", kind.message(); "repeated" => count),
            DispatcherLine::RejectedCommand(command) => {
                warn!(self.log, "{}", kind.message(); "command" => command, "repeated" => count);
            }
            DispatcherLine::RunPrevented => warn!(self.log, "{}", kind.message(); "repeated" => count),
        }
    }
}
