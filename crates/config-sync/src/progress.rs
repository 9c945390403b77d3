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
    /// Whether something may have changed before that time.
    waiting: bool,
    refusals: VecDeque<Refusal>,
    refusals_dropped: u64,
}

impl ProgressReporter {
    pub(crate) fn new(interval_ms: Millis) -> ProgressReporter {
        ProgressReporter {
            interval_ms,
            told: None,
            next_at: 0,
            waiting: false,
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

    /// When something that may have changed has to be looked at again.
    pub(crate) fn deadline(&self) -> Option<Millis> {
        self.waiting.then_some(self.next_at)
    }

    /// The report that is due, if there is one. `zones` is asked only when the interval has passed.
    pub(crate) fn report(
        &mut self,
        now: Millis,
        zones: impl FnOnce() -> Vec<ZoneProgress>,
    ) -> Option<ToServer> {
        self.waiting = now < self.next_at;
        if self.waiting {
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
        self.waiting = !self.refusals.is_empty();
        self.next_at = now.saturating_add(self.interval_ms);
        Some(ToServer::Progress { zones, refusals })
    }
}
