//! Log lines that repeat: the first ones of a kind in a window are written, the further ones are counted, and their number is
//! told when the window is over. Each kind has a window of its own, so that no kind keeps out the lines of another. A state
//! machine without log and clock.
//!
//! # Invariants
//! - Every line is written or counted, and every count is told once by [`RepeatedLines::end_windows`] or
//!   [`RepeatedLines::end_all`].
//! - While windows are ended in time, one window of a kind has no more lines than [`LineKind::lines_per_window`], among them
//!   the line that tells the count of the window before.

/// The length of a window, ms.
pub const WINDOW_MS: f64 = 1000.0;

/// What log lines have in common that are counted together. There are few values: none is made of what a peer sent.
pub trait LineKind: Copy + PartialEq {
    /// Returns the most lines of this kind in one window.
    fn lines_per_window(self) -> u32 {
        1
    }
}

/// The lines of one kind that were counted and not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repeated<K> {
    /// Their kind.
    pub kind: K,
    /// Their number, which is not 0.
    pub count: u64,
}

/// The window of one kind.
#[derive(Clone, Copy, Debug)]
struct Window<K> {
    kind: K,
    /// When it began, ms.
    started_at: f64,
    /// Lines that were written in it.
    written: u32,
    /// Lines that were counted and not written.
    repeated: u64,
}

impl<K: Copy> Window<K> {
    /// Returns a window that begins with a line that is written.
    fn begin(now: f64, kind: K) -> Window<K> {
        Window { kind, started_at: now, written: 1, repeated: 0 }
    }

    fn ends_at(&self) -> f64 {
        self.started_at + WINDOW_MS
    }

    /// Returns the lines that were not written, if there are any.
    fn repeated(&self) -> Option<Repeated<K>> {
        (self.repeated > 0).then_some(Repeated { kind: self.kind, count: self.repeated })
    }
}

/// The windows of all kinds that had a line lately.
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
    /// Takes a line, and returns whether it is written; if not, it is counted. The windows that are over have to be ended
    /// before: a window takes lines until then.
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

    /// Ends the windows that are over, and returns what has to be told now. A kind of which something is told has its next
    /// window at once, with the line that tells it.
    pub fn end_windows(&mut self, now: f64) -> Vec<Repeated<K>> {
        let mut told = Vec::new();
        self.windows.retain_mut(|window| {
            if now < window.ends_at() {
                return true;
            }
            let Some(repeated) = window.repeated() else { return false };
            told.push(repeated);
            *window = Window::begin(now, window.kind);
            true
        });
        told
    }

    /// Ends all windows, over or not, and returns what has to be told: no line follows.
    pub fn end_all(&mut self) -> Vec<Repeated<K>> {
        self.windows.drain(..).filter_map(|window| window.repeated()).collect()
    }

    /// Returns when the next window ends that has something to tell, ms.
    pub fn next_end(&self) -> Option<f64> {
        let telling = self.windows.iter().filter(|window| window.repeated > 0);
        telling.map(Window::ends_at).reduce(f64::min)
    }
}
