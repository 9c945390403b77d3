//! The log lines of the dispatcher that may come with each request or command: those that repeat are counted.

use crate::server::messages::RejectedCommand;
use crate::server::repeated_lines::{LineKind, Repeated, RepeatedLines};
use dunlinspread_idempotency::DuplicateRun;
use slog::{Logger, info, warn};

/// The most lines of one kind in a window.
const LINES_PER_WINDOW: u32 = 5;

/// The kind of a line, which says what its repetitions have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatcherLine {
    /// A note of the admission controller.
    ControllerNote,
    /// The worker pool rejected a command of this kind.
    RejectedCommand(&'static str),
    /// The last guard kept a key from running twice.
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

/// Writes those lines.
pub(super) struct RepeatingLog {
    log: Logger,
    lines: RepeatedLines<DispatcherLine>,
}

impl RepeatingLog {
    /// Returns one that writes to `log`.
    pub(super) fn new(log: Logger) -> RepeatingLog {
        RepeatingLog { log, lines: RepeatedLines::default() }
    }

    /// The admission controller has something to say.
    pub(super) fn controller_note(&mut self, now: f64, text: &str) {
        let line = DispatcherLine::ControllerNote;
        if self.admits(now, line) {
            info!(self.log, "{}", line.message(); "text" => text);
        }
    }

    /// The worker pool rejected a command.
    pub(super) fn rejected_command(&mut self, now: f64, command: &RejectedCommand) {
        let line = DispatcherLine::RejectedCommand(command.kind());
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "command" => %command);
        }
    }

    /// The run of a request was prevented.
    pub(super) fn run_prevented(&mut self, now: f64, reason: &DuplicateRun) {
        let line = DispatcherLine::RunPrevented;
        if self.admits(now, line) {
            warn!(self.log, "{}", line.message(); "reason" => %reason);
        }
    }

    /// Tells the repetitions of the windows that are over.
    pub(super) fn tell_repeated(&mut self, now: f64) {
        for repeated in self.lines.end_windows(now) {
            self.write_repeated(repeated);
        }
    }

    /// Tells all repetitions: the process is about to end.
    pub(super) fn tell_all_repeated(&mut self) {
        for repeated in self.lines.end_all() {
            self.write_repeated(repeated);
        }
    }

    /// Counts a line, and returns whether it has to be written.
    fn admits(&mut self, now: f64, line: DispatcherLine) -> bool {
        self.tell_repeated(now);
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
