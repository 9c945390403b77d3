//! Which server is tried next, and when.

use super::api::FollowerSettings;
use crate::backoff::Backoff;
use crate::resource::Millis;
use crate::selection::{proximity, ranked};
use crate::server::Server;
use crate::state_age::StateAge;

/// So many times in a row a server without a place for a snapshot is asked again before the next one is tried.
const BUSY_BEFORE_NEXT: u32 = 3;

/// Waits between tries for a fresher server double so many times at most: with the default limit, up to 80 s.
const MAX_FRESHER_DOUBLINGS: u32 = 4;

/// Why another server is tried while one is known to work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialKind {
    /// It is nearer.
    Nearer,
    /// The one that works is cut off from above.
    Fresher,
}

/// A server that is tried while another one is known to work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) kind: TrialKind,
    /// Where to go back to if it fails.
    return_to: usize,
    /// How old that one's state was.
    pub(super) left_age: Option<StateAge>,
}

/// The servers in their order, the one in use, and the delays between attempts.
pub(super) struct Candidates {
    ranked: Vec<Server>,
    /// How many of them are nearer than each one, by its place.
    nearer: Vec<usize>,
    current: usize,
    trial: Option<Trial>,
    /// Which nearer server was tried again last.
    last_tried_again: usize,
    /// Which server was tried last because it might be fresher.
    last_tried_fresher: Option<usize>,
    /// Such tries since a server was last seen that is not cut off.
    fresher_tries: u32,
    fresher_not_before: Millis,
    busy_in_a_row: u32,
    backoff: Backoff,
    return_ms: u64,
    stale_after_ms: u64,
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
            trial: None,
            last_tried_again: usize::MAX,
            last_tried_fresher: None,
            fresher_tries: 0,
            fresher_not_before: 0,
            busy_in_a_row: 0,
            backoff: Backoff::new(settings.backoff, settings.seed),
            return_ms: settings.return_ms,
            stale_after_ms: settings.stale_after_ms,
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
        self.current = match self.trial.take() {
            Some(trial) => trial.return_to,
            None => (self.current + 1) % self.ranked.len().max(1),
        };
        self.backoff.next_delay_ms()
    }

    /// A session that had come to the server's head ended: the nearest server but the lost one, after a delay.
    pub(super) fn session_lost(&mut self) -> Millis {
        self.busy_in_a_row = 0;
        self.trial = None;
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
        self.trial = None;
        self.backoff.reset();
    }

    /// The trial that the present session is, if it is one.
    pub(super) fn trial(&self) -> Option<Trial> {
        self.trial
    }

    /// A time of `least` to one and a half of it.
    pub(super) fn stretched(&mut self, least: Millis) -> Millis {
        least.saturating_add(self.backoff.jitter_ms(least / 2))
    }

    /// A server is not cut off: the next one that is may be left without delay, for the nearest other one.
    pub(super) fn fresh_server_seen(&mut self) {
        self.fresher_tries = 0;
        self.fresher_not_before = 0;
        self.last_tried_fresher = None;
    }

    /// When a fresher server may be tried at the earliest; never if there is no other.
    pub(super) fn fresher_not_before(&self) -> Millis {
        if self.ranked.len() < 2 { Millis::MAX } else { self.fresher_not_before }
    }

    /// Makes the next other server the current one; the present one, whose state is so old, stays in mind. Nothing if
    /// there is no other.
    pub(super) fn try_fresher(&mut self, now: Millis, left_age: StateAge) {
        if self.ranked.len() < 2 {
            return;
        }
        let mut next = self.last_tried_fresher.map_or(0, |last| last + 1) % self.ranked.len();
        if next == self.current {
            next = (next + 1) % self.ranked.len();
        }
        let wait = self.stale_after_ms.saturating_mul(1 << self.fresher_tries.min(MAX_FRESHER_DOUBLINGS));
        self.fresher_tries = self.fresher_tries.saturating_add(1);
        self.fresher_not_before = now.saturating_add(self.stretched(wait));
        let kind = TrialKind::Fresher;
        self.trial = Some(Trial { kind, return_to: self.current, left_age: Some(left_age) });
        self.last_tried_fresher = Some(next);
        self.current = next;
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
    pub(super) fn try_nearer(&mut self, left_age: Option<StateAge>) {
        let nearer = self.nearer.get(self.current).copied().unwrap_or(0);
        if nearer == 0 {
            return;
        }
        let kind = TrialKind::Nearer;
        self.trial = Some(Trial { kind, return_to: self.current, left_age });
        self.last_tried_again = self.last_tried_again.wrapping_add(1) % nearer;
        self.current = self.last_tried_again;
    }
}
