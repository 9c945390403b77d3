//! Final answers that are no result, what becomes of the work behind them, and the table of keys.

use super::*;

impl AdmissionController {
    /// Answers what is due or can no longer meet its aim; the margin covers the timer's own lateness.
    pub(super) fn expire(&mut self, now: f64, actions: &mut Actions) {
        let margin = TIMER_MS + 2.0 * self.settings.tick_ms;
        let (mut over, idle) = (Vec::new(), self.is_idle());
        for (id, r) in self.requests.iter().filter(|(_, r)| !r.answered) {
            let class = &self.settings.classes[r.class];
            let hopeless = match r.state {
                State::Held if self.is_after_grace(r.arrived) && !self.waits_for_prior(r) => true,
                State::Held => self.is_late(now, r, idle) && (class.late_weight <= 0.0 || self.level > 0),
                State::Running | State::AtCall(_) => {
                    let stops = self.settings.preemption != Preemption::Off || r.state != State::Running;
                    class.late_weight <= 0.0
                        && now + margin > r.aim
                        && class.retry_safety == RetrySafety::Idempotent
                        && stops
                }
                _ => false,
            };
            // A request can be due the moment it is read; it still gets its answer.
            if hopeless || now + margin >= r.due {
                over.push(*id);
            }
        }
        for id in over {
            self.answer(now, id, true, actions);
        }
    }

    /// The final answer to a request that will not be served, whatever its state.
    pub(super) fn answer(&mut self, now: f64, id: RequestId, do_not_retry: bool, actions: &mut Actions) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.answered {
            return;
        }
        r.answered = true;
        let (state, effect) = (r.state, self.settings.classes[r.class].retry_safety);
        // Safe work may be turned away even while it runs, which can ask for no further try; an error can't.
        let may_refuse =
            effect == RetrySafety::Idempotent || state == State::Held && r.duplicate_of.is_none();
        if may_refuse {
            actions.push(self.refusal(id, self.clear_ms, do_not_retry));
        } else {
            actions.push(Action::Fail(id));
        }
        self.let_go(now, id, actions);
    }

    /// What becomes of a request that nobody waits for any longer.
    pub(super) fn let_go(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        match self.requests.get(&id).map(|r| r.state) {
            Some(State::Held) => {
                self.give_entry_back(now, id, actions);
                self.requests.remove(&id);
            }
            Some(State::Paused | State::Reusing) => drop(self.requests.remove(&id)),
            Some(State::Running) => self.stop_unwanted(id, actions),
            Some(State::AtCall(_) | State::Calling) | None => {}
        }
    }

    /// Stops a run nobody waits for. A keyed one goes on: its repeats can take the result; so does a shared
    /// one.
    pub(super) fn stop_unwanted(&self, id: RequestId, actions: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let wanted = self.requests.values().any(|r| r.duplicate_of == Some(id) && !r.answered);
        let safe = self.settings.classes[r.class].retry_safety == RetrySafety::Idempotent;
        if self.settings.preemption != Preemption::Off && safe && !wanted {
            actions.push(Action::Preempt(id));
        }
    }

    /// Remembers a keyed request for its window, counted from its arrival, before it can run; a read that
    /// others may share for as long as it may take.
    pub(super) fn keep(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[r.class];
        let window = if class.retry_safety == RetrySafety::IdempotencyKey {
            class.key_window_ms
        } else {
            class.client_timeout_ms
        };
        let until = r.arrived + window + 2.0 * self.settings.tick_ms + 1.0;
        let ttl_ms = (until - now).max(1.0);
        self.entries.insert(id, now + ttl_ms);
        actions.push(Action::ReserveKey { id, ttl_ms });
    }

    /// The request ends without having run: its entry goes to a waiting repeat, or back.
    pub(super) fn give_entry_back(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        let had = self.entries.remove(&id).is_some();
        let repeats =
            self.requests.iter().filter(|(_, r)| r.duplicate_of == Some(id) && r.state == State::Held);
        let repeats: Vec<RequestId> = repeats.map(|(id, _)| *id).collect();
        for (at, repeat) in repeats.iter().enumerate() {
            if let Some(r) = self.requests.get_mut(repeat) {
                r.duplicate_of = if at == 0 { None } else { Some(repeats[0]) };
            }
        }
        match repeats.first() {
            Some(heir) => self.keep(now, *heir, actions),
            None if had => actions.push(Action::ReleaseKey(id)),
            None => {}
        }
    }
}
