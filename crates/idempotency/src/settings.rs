//! Limits of the table and key windows of the classes.

/// Slack added to each key window, ms. Receipt times are whole milliseconds, and the platform allows a
/// deviation of 50 ms on every time.
const WINDOW_SLACK_MS: f64 = 60.0;

/// Limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of keys, at least 1. A full table accepts no new key:
    /// [`crate::IdempotencyTable::has_room`].
    pub keys: usize,
    /// Maximum size of all cached results, in bytes. Beyond it the oldest results are evicted. Their keys
    /// remain in the table, with their runs marked as failed.
    pub result_bytes: usize,
}

/// Key window of a request class, and the delay with which its requests may be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyWindow {
    /// Time after the receipt of an attempt that was run during which further attempts are its duplicates,
    /// ms.
    pub window_ms: f64,
    /// Maximum time between the receipt of an attempt and reading it, ms. An entry is kept this long after
    /// its window.
    pub max_read_delay_ms: f64,
}

/// Key windows of all classes, by position.
pub(crate) struct KeyWindows(Vec<KeyWindow>);

impl KeyWindows {
    pub(crate) fn new(windows: Vec<KeyWindow>) -> Self {
        KeyWindows(windows)
    }

    /// Returns the end of the window of an attempt received at `received_at`, slack included.
    pub(crate) fn window_end(&self, class: usize, received_at: f64) -> f64 {
        received_at + self.0.get(class).map_or(0.0, |window| window.window_ms) + WINDOW_SLACK_MS
    }

    /// Returns whether there is a class at this position.
    pub(crate) fn has_class(&self, class: usize) -> bool {
        class < self.0.len()
    }

    /// Returns the end of the longest window of an attempt received at `received_at`, slack included.
    pub(crate) fn latest_window_end(&self, received_at: f64) -> f64 {
        let longest = self.0.iter().map(|window| window.window_ms).fold(0.0, f64::max);
        received_at + longest + WINDOW_SLACK_MS
    }

    /// Returns the maximum time between receiving and reading an attempt, ms.
    pub(crate) fn max_read_delay_ms(&self, class: usize) -> f64 {
        self.0.get(class).map_or(0.0, |window| window.max_read_delay_ms)
    }
}
