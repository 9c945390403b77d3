//! Detection of whether the server has lost contact with the publisher of its distributed settings, which is
//! logged once per change.

/// Age at which the settings are considered stale, ms: several times the time needed to switch to another
/// relay.
const STALE_AFTER_MS: f64 = 15_000.0;

/// A change of the settings between current and stale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StalenessChange {
    /// The settings have become stale.
    BecameStale {
        /// Age of the settings, ms.
        age_ms: f64,
    },
    /// The settings have become current.
    BecameCurrent {
        /// Time since the start, or since the settings were last current, ms.
        after_ms: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The settings have not been current since the start of the server.
    Starting,
    /// The settings were current less than [`STALE_AFTER_MS`] ago.
    Current,
    /// The settings have not been current for [`STALE_AFTER_MS`] or longer.
    Stale,
}

/// Tracks the age of the settings.
pub(super) struct StalenessMonitor {
    state: State,
    since: f64,
}

impl StalenessMonitor {
    /// Returns a monitor for a server that starts at `now`, ms.
    pub(super) fn new(now: f64) -> StalenessMonitor {
        StalenessMonitor { since: now, state: State::Starting }
    }

    /// Advances to `now` and returns the change of state, if any; `age_ms` is the time since the subscriber
    /// last had the complete settings, `None` if it never had.
    pub(super) fn advance(&mut self, now: f64, age_ms: Option<f64>) -> Option<StalenessChange> {
        let age = age_ms.unwrap_or(now - self.since);
        let next = match age_ms {
            _ if age >= STALE_AFTER_MS => State::Stale,
            Some(_) => State::Current,
            None => State::Starting,
        };
        if next == self.state {
            return None;
        }
        let after_ms = now - self.since;
        self.state = next;
        self.since = if next == State::Stale { now - age } else { now };
        match next {
            State::Stale => Some(StalenessChange::BecameStale { age_ms: age }),
            State::Current => Some(StalenessChange::BecameCurrent { after_ms }),
            State::Starting => None,
        }
    }
}
