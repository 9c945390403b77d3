//! Whether the server is cut off from the publisher of its distributed settings, for one log line at each change.

/// Age from which the settings count as stale, ms: several times what it takes to change to another relay.
const STALE_AFTER_MS: f64 = 15_000.0;

/// A change between up to date and stale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StalenessChange {
    /// The settings are stale.
    BecameStale {
        /// Their age, ms.
        age_ms: f64,
    },
    /// The settings are up to date.
    BecameCurrent {
        /// Time since the start, or since the server had all there is, ms.
        after_ms: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The server has not had all there is since its start.
    Starting,
    /// The server had all there is a short while ago.
    Current,
    /// The server has not had all there is for long.
    Stale,
}

/// Follows the age of the settings.
pub(super) struct StalenessMonitor {
    state: State,
    since: f64,
}

impl StalenessMonitor {
    /// Returns the monitor of a server that starts at `now`, ms.
    pub(super) fn new(now: f64) -> StalenessMonitor {
        StalenessMonitor { since: now, state: State::Starting }
    }

    /// Advances to `now` and returns what changed; `age_ms` is how long ago the subscriber had all there is.
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
