//! When a follower looks for a fresher server: the one it watches is heard, but says that it is itself cut off from the
//! publisher. Another server is tried, and kept only if it is clearly fresher; where all are equally old the follower
//! returns and tries ever more seldom.

use super::candidates::{Trial, TrialKind};
use super::{DisconnectReason, Follower, FollowerAction, Link, disconnect};
use crate::resource::Millis;
use crate::state_age::StateAge;

impl Follower {
    /// Takes what the server said of its age: looks again when it would be stale.
    pub(super) fn note_age(&mut self, now: Millis, age: StateAge) {
        if age.at(now) <= self.settings.stale_after_ms {
            self.candidates.fresh_server_seen();
        }
        let stale = age.passes(self.session.stale_after_ms);
        let allowed = self.session.fresh_by.max(self.candidates.fresher_not_before());
        self.session.stale_at = stale.max(allowed).max(now.saturating_add(1));
    }

    /// Whether the server is on trial and, by its age, no better than the one that was left for it.
    pub(super) fn fails_trial(&self, now: Millis, age: StateAge) -> bool {
        self.candidates.trial().is_some_and(|trial| !self.is_better(now, age, &trial))
    }

    /// Whether a server on trial, of this age, is to be kept.
    fn is_better(&self, now: Millis, age: StateAge, trial: &Trial) -> bool {
        let margin = self.settings.stale_after_ms;
        let found = age.at(now);
        let left = trial.left_age.map(|left| left.at(now));
        let clearly_fresher = left.is_some_and(|left| found.saturating_add(margin) < left);
        let not_clearly_older = left.is_none_or(|left| found <= left.saturating_add(margin));
        match trial.kind {
            TrialKind::Nearer => found <= margin || not_clearly_older,
            TrialKind::Fresher => found <= margin || clearly_fresher,
        }
    }

    /// Leaves a server that is cut off from above for the next other one, at once. Not in the middle of a snapshot, nor
    /// on a server that is on trial itself.
    pub(super) fn try_fresher(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        let age = self.session.last_heartbeat.map(|(_, age)| age);
        let can_leave = self.session.proven && !matches!(self.link, Link::Fetching(_));
        let (true, Some(age)) = (can_leave, age) else {
            let later = now.saturating_add(self.session.stale_after_ms.max(1));
            self.session.stale_at = later.max(self.candidates.fresher_not_before());
            return;
        };
        disconnect(actions, DisconnectReason::Stale(age.at(now)));
        self.counters.servers_stale += 1;
        self.candidates.try_fresher(now, age);
        self.connect(now, actions);
    }
}
