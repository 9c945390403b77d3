//! Rate limiting of repeated log lines, as a state machine without log and clock. The first lines of a kind
//! in a window are written, further ones are counted, and their count is logged at the end of the window.
//! Each kind has its own window, so that no kind suppresses the lines of another.
//!
//! # Invariants
//! - Each line is written or counted, and each count is returned once, by [`RepeatedLines::end_windows`] or
//!   [`RepeatedLines::end_all`].
//! - While windows are ended in time, a window of a kind has at most [`LineKind::lines_per_window`] lines,
//!   including the line that logs the count of the previous window.

/// Length of a window, ms.
pub const WINDOW_MS: f64 = 1000.0;

/// Kind of a log line: lines of equal kind are counted together. The values are few and never derived from
/// what a peer sent, which bounds the number of windows.
pub trait LineKind: Copy + PartialEq {
    /// Returns the largest number of lines of this kind that are written in a window.
    fn lines_per_window(self) -> u32 {
        1
    }
}

/// Number of suppressed lines of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repeated<K> {
    /// Kind of the lines.
    pub kind: K,
    /// Number of lines that were counted and not written; never 0.
    pub count: u64,
}

/// The window of one kind.
#[derive(Clone, Copy, Debug)]
struct Window<K> {
    kind: K,
    /// When the window began, ms.
    started_at: f64,
    /// Number of lines that were written in the window.
    written: u32,
    /// Number of lines that were counted and not written.
    repeated: u64,
}

impl<K: Copy> Window<K> {
    /// Returns a window that begins at `now` with one written line.
    fn begin(now: f64, kind: K) -> Window<K> {
        Window { kind, started_at: now, written: 1, repeated: 0 }
    }

    fn ends_at(&self) -> f64 {
        self.started_at + WINDOW_MS
    }

    /// Returns the count of lines that were not written, if it is not 0.
    fn repeated(&self) -> Option<Repeated<K>> {
        (self.repeated > 0).then_some(Repeated { kind: self.kind, count: self.repeated })
    }
}

/// Rate limiter of log lines, with a window for each kind that had a line recently.
#[derive(Debug)]
pub struct RepeatedLines<K> {
    windows: Vec<Window<K>>,
}

impl<K> Default for RepeatedLines<K> {
    fn default() -> RepeatedLines<K> {
        RepeatedLines { windows: Vec::new() }
    }
}

impl<K: LineKind> RepeatedLines<K> {
    /// Returns whether a line is to be written; if not, the line is counted. The caller has to end expired
    /// windows first, with [`RepeatedLines::end_windows`]: a window counts lines until it is ended.
    pub fn admit(&mut self, now: f64, kind: K) -> bool {
        let Some(window) = self.windows.iter_mut().find(|window| window.kind == kind) else {
            self.windows.push(Window::begin(now, kind));
            return true;
        };
        let is_written = window.written < kind.lines_per_window();
        if is_written {
            window.written += 1;
        } else {
            window.repeated += 1;
        }
        is_written
    }

    /// Ends the expired windows, and returns the counts to be logged now. A kind with a count starts its next
    /// window immediately, with the line that logs the count as the first one.
    pub fn end_windows(&mut self, now: f64) -> Vec<Repeated<K>> {
        let mut counts = Vec::new();
        self.windows.retain_mut(|window| {
            if now < window.ends_at() {
                return true;
            }
            let Some(repeated) = window.repeated() else { return false };
            counts.push(repeated);
            *window = Window::begin(now, window.kind);
            true
        });
        counts
    }

    /// Ends all windows, expired or not, and returns the counts to be logged. The caller writes no lines
    /// after that.
    pub fn end_all(&mut self) -> Vec<Repeated<K>> {
        self.windows.drain(..).filter_map(|window| window.repeated()).collect()
    }

    /// Returns the earliest end of a window with a count to be logged, ms.
    pub fn next_end(&self) -> Option<f64> {
        let with_count = self.windows.iter().filter(|window| window.repeated > 0);
        with_count.map(Window::ends_at).reduce(f64::min)
    }
}
