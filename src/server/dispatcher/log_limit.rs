//! A limit on log lines of one kind.

/// The most lines of one kind between two resets.
const MAX_LINES: u32 = 5;

/// Counts the log lines of one kind.
#[derive(Default)]
pub(super) struct LogLimit {
    lines: u32,
}

impl LogLimit {
    /// Counts a line and returns whether it may be logged.
    pub(super) fn allow(&mut self) -> bool {
        self.lines = self.lines.saturating_add(1);
        self.lines <= MAX_LINES
    }

    /// Starts counting anew.
    pub(super) fn reset(&mut self) {
        self.lines = 0;
    }
}
