//! When a client tells its server how far it, or all below it, have come: at once in a new session, then at most once in
//! an interval and only when something changed. When nothing does, a sign of life at a slow pace.

use crate::message::{MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Refusal, ToServer, ZoneProgress};
use crate::resource::Millis;
use std::collections::VecDeque;

/// The most refusals that wait to be reported; later ones are only counted.
const MAX_WAITING_REFUSALS: usize = 256;

/// Refusals that are told again in a new session, the newest ones, since the link that they were told on may have been
/// broken already.
const MAX_REPEATED_REFUSALS: usize = 64;
/// What was told so long before the server was last heard has arrived, ms: the link worked meanwhile.
const ARRIVED_MS: Millis = 1_000;

/// The pace of signs of life, ms: twice within the time after which servers close a silent session.
///
/// A frame of 39 bytes; with headers of TCP and IP (52 bytes) and its acknowledgement, which often travels by itself,
/// 143 bytes each 7.5 s.
const ALIVE_MS: Millis = 7_500;

/// What was told last, and what waits to be told.
pub(crate) struct ProgressReporter {
    interval_ms: Millis,
    /// What the present session was told; nothing in a new one.
    last_reported: Option<Vec<ZoneProgress>>,
    /// Not before this time.
    next_at: Millis,
    /// When anything was told last.
    told_at: Millis,
    /// Whether something may have changed before that time.
    waiting: bool,
    refusals: VecDeque<Refusal>,
    /// Told in the present session and not known to have arrived, each with the time.
    refusals_told: VecDeque<(Millis, Refusal)>,
    refusals_dropped: u64,
}

impl ProgressReporter {
    pub(crate) fn new(interval_ms: Millis) -> ProgressReporter {
        ProgressReporter {
            interval_ms,
            last_reported: None,
            next_at: 0,
            told_at: 0,
            waiting: false,
            refusals: VecDeque::new(),
            refusals_told: VecDeque::new(),
            refusals_dropped: 0,
        }
    }

    /// A new session knows nothing, and is told at once; also the refusals that may have been lost with the one before.
    pub(crate) fn session_opened(&mut self, now: Millis) {
        self.last_reported = None;
        self.next_at = now;
        self.told_at = now;
        self.repeat_refusals();
    }

    /// Something arrived from the server.
    pub(crate) fn server_heard(&mut self, now: Millis) {
        while self.refusals_told.front().is_some_and(|(at, _)| at.saturating_add(ARRIVED_MS) <= now) {
            self.refusals_told.pop_front();
        }
    }

    fn repeat_refusals(&mut self) {
        while let Some((_, refusal)) = self.refusals_told.pop_back() {
            if self.refusals.len() < MAX_WAITING_REFUSALS {
                self.refusals.push_front(refusal);
            }
        }
    }

    fn note_refusals_told(&mut self, now: Millis, refusals: &[Refusal]) {
        self.refusals_told.extend(refusals.iter().map(|refusal| (now, refusal.clone())));
        let excess = self.refusals_told.len().saturating_sub(MAX_REPEATED_REFUSALS);
        self.refusals_told.drain(..excess);
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

    /// When something that may have changed has to be looked at again, or a sign of life is due.
    pub(crate) fn deadline(&self) -> Millis {
        let changed = if self.waiting { self.next_at } else { Millis::MAX };
        changed.min(self.alive_at())
    }

    fn alive_at(&self) -> Millis {
        self.told_at.saturating_add(ALIVE_MS)
    }

    fn sign_of_life(&mut self, now: Millis) -> Option<ToServer> {
        if now < self.alive_at() {
            return None;
        }
        self.told_at = now;
        Some(ToServer::Alive)
    }

    /// The report that is due, if there is one, or a sign of life. `zones` is asked only when the interval has passed.
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
        if self.refusals.is_empty() && self.last_reported.as_ref() == Some(&zones) {
            return self.sign_of_life(now);
        }
        self.told_at = now;
        let count = self.refusals.len().min(MAX_REPORTED_REFUSALS);
        let refusals: Vec<Refusal> = self.refusals.drain(..count).collect();
        self.note_refusals_told(now, &refusals);
        self.last_reported = Some(zones.clone());
        self.waiting = !self.refusals.is_empty();
        self.next_at = now.saturating_add(self.interval_ms);
        Some(ToServer::Progress { zones, refusals })
    }
}
