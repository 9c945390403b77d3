//! Period in which another process may have run any key.

/// Period up to a given time. Attempts received in it may have been run by another process, regardless of the
/// table's entries for their keys.
///
/// Initially there is no blackout.
pub(crate) struct Blackout {
    until: f64,
}

impl Blackout {
    pub(crate) fn none() -> Self {
        Blackout { until: f64::NEG_INFINITY }
    }

    /// Extends the blackout to `until`, Unix ms. Has no effect if it already ends later.
    pub(crate) fn extend_to(&mut self, until: f64) {
        self.until = self.until.max(until);
    }

    /// Returns the end of the blackout, or `None` if there was none.
    pub(crate) fn until(&self) -> Option<f64> {
        self.until.is_finite().then_some(self.until)
    }

    /// Returns whether `received_at` is within the blackout.
    pub(crate) fn covers(&self, received_at: f64) -> bool {
        received_at <= self.until
    }
}
