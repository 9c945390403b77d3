//! Which server is tried next, and when.

use super::api::FollowerSettings;
use crate::backoff::Backoff;
use crate::client::Server;
use crate::resource::Millis;
use crate::selection::{proximity, ranked};

/// So many times in a row a server without a place for a snapshot is asked again before the next one is tried.
const BUSY_BEFORE_NEXT: u32 = 3;

/// The servers in their order, the one in use, and the delays between attempts.
pub(super) struct Candidates {
    ranked: Vec<Server>,
    /// How many of them are nearer than each one, by its place.
    nearer: Vec<usize>,
    current: usize,
    /// Where to go back to if the attempt at a nearer server fails.
    return_to: Option<usize>,
    /// Which nearer server was tried again last.
    last_tried_again: usize,
    busy_in_a_row: u32,
    backoff: Backoff,
    return_ms: u64,
    max_busy_wait_ms: u64,
}

impl Candidates {
    pub(super) fn new(settings: &FollowerSettings) -> Candidates {
        let ranked = ranked(&settings.member, &settings.servers);
        let nearness: Vec<_> = ranked.iter().map(|server| proximity(&settings.member, server)).collect();
        let nearer =
            nearness.iter().map(|own| nearness.iter().filter(|other| *other < own).count()).collect();
        Candidates {
            ranked,
            nearer,
            current: 0,
            return_to: None,
            last_tried_again: usize::MAX,
            busy_in_a_row: 0,
            backoff: Backoff::new(settings.backoff, settings.seed),
            return_ms: settings.return_ms,
            max_busy_wait_ms: settings.max_busy_wait_ms,
        }
    }

    /// The server to watch now, if there is any at all.
    pub(super) fn current(&self) -> Option<&Server> {
        self.ranked.get(self.current)
    }

    /// The attempt, or a session that never came to the server's head, failed: the next server, after a delay.
    pub(super) fn attempt_failed(&mut self) -> Millis {
        self.busy_in_a_row = 0;
        self.current = match self.return_to.take() {
            Some(previous) => previous,
            None => (self.current + 1) % self.ranked.len().max(1),
        };
        self.backoff.next_delay_ms()
    }

    /// A session that had come to the server's head ended: the nearest server but the lost one, after a delay.
    pub(super) fn session_lost(&mut self) -> Millis {
        self.busy_in_a_row = 0;
        self.return_to = None;
        let lost = self.current;
        self.current = usize::from(lost == 0 && self.ranked.len() > 1);
        self.backoff.next_delay_ms()
    }

    /// The server has no place: the same again after the delay it asked for, or the next one after several times.
    pub(super) fn busy(&mut self, retry_after_ms: u64) -> Millis {
        self.busy_in_a_row += 1;
        if self.busy_in_a_row >= BUSY_BEFORE_NEXT {
            return self.attempt_failed();
        }
        retry_after_ms.min(self.max_busy_wait_ms)
    }

    /// The session came to the server's head.
    pub(super) fn session_proven(&mut self) {
        self.busy_in_a_row = 0;
        self.return_to = None;
        self.backoff.reset();
    }

    /// Whether the present session is an attempt at a nearer server while a farther one is known to work.
    pub(super) fn is_trying_nearer(&self) -> bool {
        self.return_to.is_some()
    }

    /// When a nearer server is to be tried again; never on one of the nearest.
    pub(super) fn next_return(&mut self, now: Millis) -> Option<Millis> {
        let nearer = self.nearer.get(self.current).copied().unwrap_or(0);
        if nearer == 0 {
            return None;
        }
        let wait = self.return_ms / 2 + self.backoff.jitter_ms(self.return_ms);
        Some(now.saturating_add(wait))
    }

    /// Makes the next nearer server the current one; the present one stays in mind.
    pub(super) fn try_nearer(&mut self) {
        let nearer = self.nearer.get(self.current).copied().unwrap_or(0);
        if nearer == 0 {
            return;
        }
        self.return_to = Some(self.current);
        self.last_tried_again = self.last_tried_again.wrapping_add(1) % nearer;
        self.current = self.last_tried_again;
    }
}
