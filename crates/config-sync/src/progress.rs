//! Timing of a client's progress reports to its server: at once in a new session, then at most once per
//! interval and only after a change. Without changes, a keep-alive is sent at a low rate.

use crate::message::{MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Refusal, ToServer, ZoneProgress};
use crate::resource::Millis;
use std::collections::VecDeque;

/// Maximum number of refusals queued for a report; later ones are only counted.
const MAX_QUEUED_REFUSALS: usize = 256;

/// Maximum number of refusals, the newest ones, that are reported again in a new session, since the link on
/// which they were reported may already have been broken.
const MAX_REPEATED_REFUSALS: usize = 64;
/// A report sent this long before the last message from the server is assumed to have arrived, ms, since the
/// link still worked after it.
const ASSUMED_ARRIVAL_MS: Millis = 1_000;

/// Interval of keep-alives, ms: twice within the time after which servers close a silent session.
///
/// A keep-alive is a frame of 39 bytes; with TCP and IP headers (52 bytes) and its acknowledgement, which is
/// often a separate packet, it costs 143 bytes every 7.5 s.
const KEEP_ALIVE_MS: Millis = 7_500;

/// The last reported progress, and the refusals that are still to be reported.
pub(crate) struct ProgressReporter {
    interval_ms: Millis,
    /// Progress last reported in the current session; `None` in a new one.
    last_reported: Option<Vec<ZoneProgress>>,
    /// Earliest time of the next report.
    next_report_at: Millis,
    /// Time at which the last message was sent.
    last_sent_at: Millis,
    /// Whether something may have changed that is to be checked at `next_report_at`.
    check_pending: bool,
    refusals: VecDeque<Refusal>,
    /// Refusals sent in the current session and not known to have arrived, with the time of sending.
    sent_refusals: VecDeque<(Millis, Refusal)>,
    refusals_dropped: u64,
}

impl ProgressReporter {
    pub(crate) fn new(interval_ms: Millis) -> ProgressReporter {
        ProgressReporter {
            interval_ms,
            last_reported: None,
            next_report_at: 0,
            last_sent_at: 0,
            check_pending: false,
            refusals: VecDeque::new(),
            sent_refusals: VecDeque::new(),
            refusals_dropped: 0,
        }
    }

    /// Makes a report due at once in a new session, including the refusals that may have been lost with the
    /// previous session.
    pub(crate) fn session_opened(&mut self, now: Millis) {
        self.last_reported = None;
        self.next_report_at = now;
        self.last_sent_at = now;
        self.requeue_refusals();
    }

    /// Records that a message arrived from the server.
    pub(crate) fn on_server_message(&mut self, now: Millis) {
        while self.sent_refusals.front().is_some_and(|(at, _)| at.saturating_add(ASSUMED_ARRIVAL_MS) <= now) {
            self.sent_refusals.pop_front();
        }
    }

    fn requeue_refusals(&mut self) {
        while let Some((_, refusal)) = self.sent_refusals.pop_back() {
            if self.refusals.len() < MAX_QUEUED_REFUSALS {
                self.refusals.push_front(refusal);
            }
        }
    }

    fn record_sent_refusals(&mut self, now: Millis, refusals: &[Refusal]) {
        self.sent_refusals.extend(refusals.iter().map(|refusal| (now, refusal.clone())));
        let excess = self.sent_refusals.len().saturating_sub(MAX_REPEATED_REFUSALS);
        self.sent_refusals.drain(..excess);
    }

    /// Queues a refusal for the next report.
    pub(crate) fn queue_refusal(&mut self, refusal: Refusal) {
        if self.refusals.len() < MAX_QUEUED_REFUSALS {
            self.refusals.push_back(refusal);
        } else {
            self.refusals_dropped += 1;
        }
    }

    /// Returns the number of refusals that were not reported because the queue was full.
    pub(crate) fn refusals_dropped(&self) -> u64 {
        self.refusals_dropped
    }

    /// Returns when a possible change has to be checked again, or a keep-alive is due.
    pub(crate) fn deadline(&self) -> Millis {
        let changed = if self.check_pending { self.next_report_at } else { Millis::MAX };
        changed.min(self.keep_alive_at())
    }

    fn keep_alive_at(&self) -> Millis {
        self.last_sent_at.saturating_add(KEEP_ALIVE_MS)
    }

    fn keep_alive(&mut self, now: Millis) -> Option<ToServer> {
        if now < self.keep_alive_at() {
            return None;
        }
        self.last_sent_at = now;
        Some(ToServer::Alive)
    }

    /// Returns the report or the keep-alive that is due, if any. `zones` is called only if the interval has
    /// passed.
    pub(crate) fn report(
        &mut self,
        now: Millis,
        zones: impl FnOnce() -> Vec<ZoneProgress>,
    ) -> Option<ToServer> {
        self.check_pending = now < self.next_report_at;
        if self.check_pending {
            return None;
        }
        let mut zones = zones();
        zones.truncate(MAX_REPORTED_ZONES);
        if self.refusals.is_empty() && self.last_reported.as_ref() == Some(&zones) {
            return self.keep_alive(now);
        }
        self.last_sent_at = now;
        let count = self.refusals.len().min(MAX_REPORTED_REFUSALS);
        let refusals: Vec<Refusal> = self.refusals.drain(..count).collect();
        self.record_sent_refusals(now, &refusals);
        self.last_reported = Some(zones.clone());
        self.check_pending = !self.refusals.is_empty();
        self.next_report_at = now.saturating_add(self.interval_ms);
        Some(ToServer::Progress { zones, refusals })
    }
}
