//! Calls to what lies below: which are made, left out or made again.

use super::*;

/// Usual call times that must fit within a call's limit for it to be made.
const CALL_ROOM: f64 = 2.0;
/// First wait before a call is tried again, ms; it doubles with each try.
const CALL_RETRY_MS: f64 = 100.0;
/// Part of the time to the aim that a call of a tier may take where it can be left out: one that is never
/// answered leaves room to be made again.
const CALL_PART: f64 = 0.6;
/// Times that a safe call which broke off or was not answered in time is made again at once.
const CALLS_AGAIN: i32 = 2;

impl AdmissionController {
    pub(super) fn on_call_ended(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        actions: &mut Actions,
    ) {
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let linger = if never_ran || outcome == Outcome::Ok { 0.0 } else { self.settings.call_linger_ms };
        self.call_over(id, now + linger);
        if !never_ran {
            self.usual_call += (clamp_finite(took_ms, 0.0, 1e9) - self.usual_call) * BLEND;
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Ok {
            r.state = State::Running;
            return;
        }
        let class = &self.settings.classes[r.class];
        let safe = class.retry_safety == RetrySafety::Idempotent;
        let again = safe && self.settings.upstream_call_share.is_none() && r.call_tries < CALLS_AGAIN;
        // A tier has other machines: a call that broke off or got no answer may find a better one. It guards
        // against spoilt and missing replies; it could hurt where all are slow, so it ends soon.
        if again && matches!(outcome, Outcome::ConnectionLost | Outcome::TimedOut) {
            r.call_tries += 1;
            r.state = State::AtCall(now);
        // So may one that was refused.
        } else if class.degraded_weight > 0.0 && !(never_ran && self.settings.upstream_call_share.is_none()) {
            r.state = State::Running;
            actions.push(Action::SkipUpstreamCall(id));
        } else if never_ran || safe {
            // Back off, doubling: a dependency in trouble is not helped by more calls.
            r.call_tries = (r.call_tries + 1).min(6);
            r.state = State::AtCall(now + CALL_RETRY_MS * f64::from(1 << r.call_tries));
        } else {
            r.state = State::AtCall(f64::INFINITY);
            self.answer(now, id, false, actions);
        }
    }

    /// Makes the calls that requests wait for: those that can't be left out first, then by value. Each
    /// books the longest time that it may be in the dependency's hands on what this instance may use over the
    /// window, so that its share holds whatever the dependency does; what a call did not use is free again.
    /// Without room, or when time runs short, the call is left out where that is allowed. It guards against a
    /// dependency that slows down, hangs or serves too many; it could hurt where calls are few and long.
    /// Where no share is stated (a tier that looks after itself), nothing is booked and time alone decides.
    pub(super) fn make_calls(&mut self, now: f64, actions: &mut Actions) {
        let (mut waiting, idle): (Vec<(bool, f64, RequestId)>, bool) = (Vec::new(), self.is_idle());
        for (id, r) in &self.requests {
            if matches!(r.state, State::AtCall(from) if from <= now) && !r.answered {
                waiting.push((
                    self.settings.classes[r.class].degraded_weight > 0.0,
                    self.value(now, r, idle),
                    *id,
                ));
            }
        }
        waiting.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        let all = self
            .settings
            .upstream_call_share
            .map_or(f64::INFINITY, |share| share * ROOM_USED * self.settings.upstream_window_ms);
        let part = if self.settings.upstream_call_share.is_none() { CALL_PART } else { 1.0 };
        for (skippable, _, id) in waiting {
            let left = all - self.call_reservations.iter().map(|(_, from, until)| until - from).sum::<f64>();
            let Some(r) = self.requests.get_mut(&id) else { continue };
            let (time, room) =
                if skippable { ((r.aim - now) * part, left.min(all / 2.0)) } else { (r.due - now, left) };
            let limit_ms = (time - TIMER_MS).min(room - self.settings.call_linger_ms);
            let enough = (CALL_ROOM * self.usual_call).min(all / 2.0 - self.settings.call_linger_ms).max(1.0);
            if limit_ms >= enough {
                r.state = State::Calling;
                self.call_reservations.push((id, now, now + limit_ms + self.settings.call_linger_ms));
                actions.push(Action::CallUpstream { id, timeout_ms: limit_ms });
            } else if skippable {
                if time - TIMER_MS < enough {
                    // Calls left out for their length say nothing new: one is tried again before long.
                    self.usual_call *= 1.0 - BLEND;
                }
                r.state = State::Running;
                actions.push(Action::SkipUpstreamCall(id));
            }
        }
    }

    /// The call is in the dependency's hands until then at the latest.
    pub(super) fn call_over(&mut self, id: RequestId, until: f64) {
        if let Some(call) = self.call_reservations.iter_mut().rev().find(|c| c.0 == id) {
            call.2 = call.2.min(until);
        }
    }
}
