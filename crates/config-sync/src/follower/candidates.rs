//! Choice of the server to try next, and of the time of the attempt.

use super::api::FollowerSettings;
use crate::backoff::Backoff;
use crate::resource::Millis;
use crate::selection::{proximity, ranked};
use crate::server::Server;
use crate::state_age::StateAge;

/// Number of consecutive `Busy` answers after which the next server is tried.
const MAX_CONSECUTIVE_BUSY: u32 = 3;

/// Maximum number of doublings of the wait between attempts to find a fresher server: with the default limit,
/// the wait grows to 80 s at most, before jitter.
const MAX_FRESHER_DOUBLINGS: u32 = 4;

/// Reason for trying another server while one is known to work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialKind {
    /// The server on trial is nearer.
    Nearer,
    /// The working server is cut off from the publisher.
    Fresher,
}

/// Trial of a server while another one is known to work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) kind: TrialKind,
    /// Index of the server to return to if the trial fails.
    return_to: usize,
    /// Age of that server's state when it was left.
    pub(super) left_age: Option<StateAge>,
}

/// The servers in order of preference, the current one, and the delays between attempts.
pub(super) struct Candidates {
    ranked: Vec<Server>,
    /// For each server, by index, the number of servers that are nearer.
    nearer: Vec<usize>,
    current: usize,
    trial: Option<Trial>,
    /// Index of the nearer server that was last tried again.
    last_tried_nearer: usize,
    /// Index of the server that was last tried because it might be fresher.
    last_tried_fresher: Option<usize>,
    /// Number of such trials since a server was last seen that is not cut off.
    fresher_trials: u32,
    fresher_not_before: Millis,
    consecutive_busy: u32,
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
            last_tried_nearer: usize::MAX,
            last_tried_fresher: None,
            fresher_trials: 0,
            fresher_not_before: 0,
            consecutive_busy: 0,
            backoff: Backoff::new(settings.backoff, settings.seed),
            return_ms: settings.return_ms,
            stale_after_ms: settings.stale_after_ms,
            max_busy_wait_ms: settings.max_busy_wait_ms,
        }
    }

    /// Returns the server to watch now, if there is any.
    pub(super) fn current(&self) -> Option<&Server> {
        self.ranked.get(self.current)
    }

    /// Moves on after a failed attempt, or a session that never reached the server's head: selects the next
    /// server and returns the delay before it is tried.
    pub(super) fn attempt_failed(&mut self) -> Millis {
        self.consecutive_busy = 0;
        self.current = match self.trial.take() {
            Some(trial) => trial.return_to,
            None => (self.current + 1) % self.ranked.len().max(1),
        };
        self.backoff.next_delay_ms()
    }

    /// Moves on after the end of a session that had reached the server's head: selects the nearest server
    /// other than the lost one and returns the delay before it is tried.
    pub(super) fn session_lost(&mut self) -> Millis {
        self.consecutive_busy = 0;
        self.trial = None;
        let lost = self.current;
        self.current = usize::from(lost == 0 && self.ranked.len() > 1);
        self.backoff.next_delay_ms()
    }

    /// Handles a `Busy` answer: returns the delay that the server requested before it is tried again, or
    /// selects the next server after several such answers.
    pub(super) fn busy(&mut self, retry_after_ms: u64) -> Millis {
        self.consecutive_busy += 1;
        if self.consecutive_busy >= MAX_CONSECUTIVE_BUSY {
            return self.attempt_failed();
        }
        retry_after_ms.min(self.max_busy_wait_ms)
    }

    /// Records that the session reached the server's head.
    pub(super) fn on_head_reached(&mut self) {
        self.consecutive_busy = 0;
        self.trial = None;
        self.backoff.reset();
    }

    /// Returns the current trial, if the current session is one.
    pub(super) fn trial(&self) -> Option<Trial> {
        self.trial
    }

    /// Returns a random time between `base` and one and a half of it.
    pub(super) fn with_jitter(&mut self, base: Millis) -> Millis {
        base.saturating_add(self.backoff.jitter_ms(base / 2))
    }

    /// Records that a server is not cut off: the next server that is cut off may be left without delay, for
    /// the nearest other one.
    pub(super) fn fresh_server_seen(&mut self) {
        self.fresher_trials = 0;
        self.fresher_not_before = 0;
        self.last_tried_fresher = None;
    }

    /// Returns the earliest time to try a fresher server; never if there is no other server.
    pub(super) fn fresher_not_before(&self) -> Millis {
        if self.ranked.len() < 2 { Millis::MAX } else { self.fresher_not_before }
    }

    /// Makes the next other server the current one, on trial; remembers the present one and the age of its
    /// state, `left_age`. Does nothing if there is no other server.
    pub(super) fn try_fresher(&mut self, now: Millis, left_age: StateAge) {
        if self.ranked.len() < 2 {
            return;
        }
        let mut next = self.last_tried_fresher.map_or(0, |last| last + 1) % self.ranked.len();
        if next == self.current {
            next = (next + 1) % self.ranked.len();
        }
        let wait = self.stale_after_ms.saturating_mul(1 << self.fresher_trials.min(MAX_FRESHER_DOUBLINGS));
        self.fresher_trials = self.fresher_trials.saturating_add(1);
        self.fresher_not_before = now.saturating_add(self.with_jitter(wait));
        let kind = TrialKind::Fresher;
        self.trial = Some(Trial { kind, return_to: self.current, left_age: Some(left_age) });
        self.last_tried_fresher = Some(next);
        self.current = next;
    }

    /// Returns when to try a nearer server again; `None` if no server is nearer than the current one.
    pub(super) fn next_return(&mut self, now: Millis) -> Option<Millis> {
        let nearer = self.nearer.get(self.current).copied().unwrap_or(0);
        if nearer == 0 {
            return None;
        }
        let wait = self.return_ms / 2 + self.backoff.jitter_ms(self.return_ms);
        Some(now.saturating_add(wait))
    }

    /// Makes the next nearer server the current one, on trial; remembers the present one and the age of its
    /// state.
    pub(super) fn try_nearer(&mut self, left_age: Option<StateAge>) {
        let nearer = self.nearer.get(self.current).copied().unwrap_or(0);
        if nearer == 0 {
            return;
        }
        let kind = TrialKind::Nearer;
        self.trial = Some(Trial { kind, return_to: self.current, left_age });
        self.last_tried_nearer = self.last_tried_nearer.wrapping_add(1) % nearer;
        self.current = self.last_tried_nearer;
    }
}
