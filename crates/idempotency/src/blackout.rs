//! A time in which another process may have run any key.

/// Attempts received in this time may have been run by another process, whatever the table knows of their keys.
///
/// There is none at first.
pub(crate) struct Blackout {
    until: f64,
}

impl Blackout {
    pub(crate) fn none() -> Self {
        Blackout { until: f64::NEG_INFINITY }
    }

    /// Prolongs the time to `until`, Unix ms.
    pub(crate) fn extend_to(&mut self, until: f64) {
        self.until = self.until.max(until);
    }

    /// Returns the end of this time; `None` if there is none.
    pub(crate) fn until(&self) -> Option<f64> {
        self.until.is_finite().then_some(self.until)
    }

    /// Returns whether an attempt received at `received_at` falls in this time.
    pub(crate) fn covers(&self, received_at: f64) -> bool {
        received_at <= self.until
    }
}
