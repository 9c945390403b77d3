//! The limits of the table and the times of each class.

/// Slack added to the window of a key, ms: received times are whole milliseconds, and the platform allows 50 ms on
/// every time.
const WINDOW_SLACK_MS: f64 = 60.0;

/// The limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Keys, at least 1. A full table has no room for a new key: [`crate::IdempotencyTable::has_room`].
    pub keys: usize,
    /// Bytes of cached results. Beyond it the oldest results are evicted; their keys stay, as run and failed.
    pub result_bytes: usize,
}

/// The times of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyWindow {
    /// How long after the receipt of an attempt that was run a further one is its duplicate, ms.
    pub window_ms: f64,
    /// The longest time between the receipt of an attempt and its reading, ms. An entry outlasts its window by this.
    pub max_read_delay_ms: f64,
}

/// The times of all classes, by position.
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

    /// Returns the longest time between receipt and reading, ms.
    pub(crate) fn max_read_delay_ms(&self, class: usize) -> f64 {
        self.0.get(class).map_or(0.0, |window| window.max_read_delay_ms)
    }
}
