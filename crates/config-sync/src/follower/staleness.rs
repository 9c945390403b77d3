//! Search for a fresher server if messages of the watched one arrive but report that it is itself cut off
//! from the publisher. Another server is tried, and kept only if it is clearly fresher; if all are equally
//! old, the follower returns and tries at increasing intervals.

use super::candidates::{Trial, TrialKind};
use super::{DisconnectReason, Follower, FollowerAction, Link, disconnect};
use crate::resource::Millis;
use crate::state_age::StateAge;

impl Follower {
    /// Records the age that the server reported, and schedules the time at which the server becomes stale.
    pub(super) fn on_server_age(&mut self, now: Millis, age: StateAge) {
        if age.at(now) <= self.settings.stale_after_ms {
            self.candidates.fresh_server_seen();
        }
        let stale = age.passes(self.session.stale_after_ms);
        let allowed = self.session.fresh_deadline.max(self.candidates.fresher_not_before());
        self.session.stale_at = stale.max(allowed).max(now.saturating_add(1));
    }

    /// Returns whether the server is on trial and its age does not justify keeping it.
    pub(super) fn fails_trial(&self, now: Millis, age: StateAge) -> bool {
        self.candidates.trial().is_some_and(|trial| !self.is_better(now, age, &trial))
    }

    /// Returns whether a server on trial whose state has this age is to be kept.
    fn is_better(&self, now: Millis, age: StateAge, trial: &Trial) -> bool {
        let margin = self.settings.stale_after_ms;
        let age_ms = age.at(now);
        let left_age_ms = trial.left_age.map(|left_age_ms| left_age_ms.at(now));
        let clearly_fresher =
            left_age_ms.is_some_and(|left_age_ms| age_ms.saturating_add(margin) < left_age_ms);
        let not_clearly_older =
            left_age_ms.is_none_or(|left_age_ms| age_ms <= left_age_ms.saturating_add(margin));
        match trial.kind {
            TrialKind::Nearer => age_ms <= margin || not_clearly_older,
            TrialKind::Fresher => age_ms <= margin || clearly_fresher,
        }
    }

    /// Leaves a server that is cut off from the publisher for the next other one at once, but not during a
    /// snapshot, nor from a server that is itself on trial.
    pub(super) fn try_fresher(&mut self, now: Millis, actions: &mut Vec<FollowerAction>) {
        let age = self.session.last_heartbeat.map(|(_, age)| age);
        let can_leave = self.session.synced && !matches!(self.link, Link::Fetching(_));
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
