//! Final answers that are no result, what becomes of the work behind them, and the table of keys.

use super::*;

impl Policy {
    /// Answers what is due or can no longer meet its aim; the margin covers the timer's own lateness.
    pub(super) fn expire(&mut self, now: f64, out: &mut Actions) {
        let margin = TIMER_MS + 2.0 * self.set.tick_ms;
        let (mut over, idle) = (Vec::new(), self.is_idle());
        for (id, r) in self.requests.iter().filter(|(_, r)| !r.answered) {
            let class = &self.set.classes[r.class];
            let hopeless = match r.state {
                State::Held if self.is_after_grace(r.arrived) && !self.waits_for_prior(r) => true,
                State::Held => self.is_late(now, r, idle) && (class.late_worth <= 0.0 || self.level > 0),
                State::Running | State::AtCall(_) => {
                    let stops = self.set.preemption != Preemption::Off || r.state != State::Running;
                    class.late_worth <= 0.0 && now + margin > r.aim && class.effect == Effect::Safe && stops
                }
                _ => false,
            };
            // A request can be due the moment it is read; it still gets its answer.
            if hopeless || now + margin >= r.due {
                over.push(*id);
            }
        }
        for id in over {
            self.answer(now, id, true, out);
        }
    }

    /// The final answer to a request that will not be served, whatever its state.
    pub(super) fn answer(&mut self, now: f64, id: RequestId, last: bool, out: &mut Actions) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.answered {
            return;
        }
        r.answered = true;
        let (state, effect) = (r.state, self.set.classes[r.class].effect);
        // Safe work may be turned away even while it runs, which can ask for no further try; an error can't.
        let may_refuse = effect == Effect::Safe || state == State::Held && r.prior.is_none();
        if may_refuse {
            out.push(self.refusal(id, self.clear_ms, last));
        } else {
            out.push(Action::Fail(id));
        }
        self.let_go(now, id, out);
    }

    /// What becomes of a request that nobody waits for any longer.
    pub(super) fn let_go(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        match self.requests.get(&id).map(|r| r.state) {
            Some(State::Held) => {
                self.give_entry_back(now, id, out);
                self.requests.remove(&id);
            }
            Some(State::Paused | State::Reusing) => drop(self.requests.remove(&id)),
            Some(State::Running) => self.stop_unwanted(id, out),
            Some(State::AtCall(_) | State::Calling) | None => {}
        }
    }

    /// Stops a run nobody waits for. A keyed one goes on: its repeats can take the result; so does a shared
    /// one.
    pub(super) fn stop_unwanted(&self, id: RequestId, out: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let wanted = self.requests.values().any(|r| r.prior == Some(id) && !r.answered);
        let safe = self.set.classes[r.class].effect == Effect::Safe;
        if self.set.preemption != Preemption::Off && safe && !wanted {
            out.push(Action::Preempt(id));
        }
    }

    /// Remembers a keyed request for its window, counted from its arrival, before it can run; a read that
    /// others may share for as long as it may take.
    pub(super) fn keep(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(r) = self.requests.get(&id) else { return };
        let class = &self.set.classes[r.class];
        let window = if class.effect == Effect::Keyed { class.window_ms } else { class.give_up_ms };
        let until = r.arrived + window + 2.0 * self.set.tick_ms + 1.0;
        let ttl_ms = (until - now).max(1.0);
        self.entries.insert(id, now + ttl_ms);
        out.push(Action::Keep { id, ttl_ms });
    }

    /// The request ends without having run: its entry goes to a waiting repeat, or back.
    pub(super) fn give_entry_back(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let had = self.entries.remove(&id).is_some();
        let repeats = self.requests.iter().filter(|(_, r)| r.prior == Some(id) && r.state == State::Held);
        let repeats: Vec<RequestId> = repeats.map(|(id, _)| *id).collect();
        for (at, repeat) in repeats.iter().enumerate() {
            if let Some(r) = self.requests.get_mut(repeat) {
                r.prior = if at == 0 { None } else { Some(repeats[0]) };
            }
        }
        match repeats.first() {
            Some(heir) => self.keep(now, *heir, out),
            None if had => out.push(Action::Forget(id)),
            None => {}
        }
    }
}
