//! When a client tells its server how far it, or all below it, have come: at once in a new session, then at most once in
//! an interval and only when something changed.

use crate::message::{MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Refusal, ToServer, ZoneProgress};
use crate::resource::Millis;
use std::collections::VecDeque;

/// The most refusals that wait to be reported; later ones are only counted.
const MAX_WAITING_REFUSALS: usize = 256;

/// What was told last, and what waits to be told.
pub(crate) struct ProgressReporter {
    interval_ms: Millis,
    /// What the present session was told; nothing in a new one.
    told: Option<Vec<ZoneProgress>>,
    /// Not before this time.
    next_at: Millis,
    refusals: VecDeque<Refusal>,
    refusals_dropped: u64,
}

impl ProgressReporter {
    pub(crate) fn new(interval_ms: Millis) -> ProgressReporter {
        ProgressReporter {
            interval_ms,
            told: None,
            next_at: 0,
            refusals: VecDeque::new(),
            refusals_dropped: 0,
        }
    }

    /// A new session knows nothing, and is told at once.
    pub(crate) fn session_opened(&mut self, now: Millis) {
        self.told = None;
        self.next_at = now;
    }

    /// A refusal to be reported once.
    pub(crate) fn refuse(&mut self, refusal: Refusal) {
        if self.refusals.len() < MAX_WAITING_REFUSALS {
            self.refusals.push_back(refusal);
        } else {
            self.refusals_dropped += 1;
        }
    }

    /// Refusals that were not reported because too many waited.
    pub(crate) fn refusals_dropped(&self) -> u64 {
        self.refusals_dropped
    }

    /// Whether refusals wait to be reported.
    pub(crate) fn has_refusals(&self) -> bool {
        !self.refusals.is_empty()
    }

    /// The earliest time of the next report.
    pub(crate) fn next_at(&self) -> Millis {
        self.next_at
    }

    /// The report that is due, if there is one. `zones` is asked only when the interval has passed.
    pub(crate) fn report(
        &mut self,
        now: Millis,
        zones: impl FnOnce() -> Vec<ZoneProgress>,
    ) -> Option<ToServer> {
        if now < self.next_at {
            return None;
        }
        let mut zones = zones();
        zones.truncate(MAX_REPORTED_ZONES);
        if self.refusals.is_empty() && self.told.as_ref() == Some(&zones) {
            return None;
        }
        let count = self.refusals.len().min(MAX_REPORTED_REFUSALS);
        let refusals = self.refusals.drain(..count).collect();
        self.told = Some(zones.clone());
        self.next_at = now.saturating_add(self.interval_ms);
        Some(ToServer::Progress { zones, refusals })
    }
}
