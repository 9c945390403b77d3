//! What comes in: each event brings the state up to date and settles what can be settled at once.

use super::level::{FAILING, LEVELS};
use super::*;

/// Weight of an arrival in the mix of classes.
const MIX_BLEND: f64 = 0.02;
/// Usual run times that reads may be old on the average while the cut still rests beside idle cores.
const FRESH_RUNS: f64 = 2.0;
/// Part of the rank and worth that a marked further try keeps.
const RETRY_PART: f64 = 0.1;

impl Policy {
    pub(super) fn on_start(&mut self, out: &mut Actions) {
        out.push(Action::Health(true));
        if self.set.signal == Signal::Share {
            self.said = self.ramp(self.born);
            out.push(Action::Say(self.said));
        }
        out.push(Action::Timer { token: TIMER, delay_ms: TIMER_MS });
    }

    pub(super) fn on_arrive(&mut self, now: f64, a: Arrival, out: &mut Actions) {
        if self.requests.contains_key(&a.id) {
            return;
        }
        // A class past the list has no stated effect or aim: not running it is the one safe answer.
        let Some(class) = self.set.classes.get(a.class).cloned() else {
            return out.push(Action::Refuse { id: a.id, retry_after_ms: 0.0, last: true });
        };
        for (at, l) in self.learned.iter_mut().enumerate() {
            l.part += (if at == a.class { 1.0 } else { 0.0 } - l.part) * MIX_BLEND;
        }
        self.arrivals += 1.0;
        let age = sane(a.age_ms, 0.0, class.give_up_ms);
        self.age.add(age);
        let arrived = now - age;
        let told = a.deadline.filter(|d| d.is_finite() && *d > 0.0);
        let mut due = told.unwrap_or(arrived + class.give_up_ms).max(now);
        if let Some((_, stop)) = self.leaving {
            due = due.min(stop);
        }
        let cost = sane(a.cost_ms.unwrap_or(0.0), 0.0, 1e9);
        let over = self.over_allowance(a.tenant);
        self.over_allowance_arrivals += f64::from(u8::from(over));
        // A further try has spent part of its aim, and refusing a first try only brings another one to read.
        let part =
            if over { self.set.over_share_worth } else { 1.0 } * if a.retry { RETRY_PART } else { 1.0 };
        let keyed = class.effect == Effect::Keyed;
        let shared = class.effect == Effect::Safe && a.subject && self.set.fresh_ms > 0.0;
        let prior = a.prior.filter(|p| keyed || shared && self.can_share(*p));
        let request = Request {
            class: a.class,
            held_kb: sane(a.held_kb, 0.0, 1e12),
            rank: self.place(sane(a.rank, 0.0, 1.0), over) * if a.retry { RETRY_PART } else { 1.0 },
            worth: class.worth * part,
            arrived,
            aim: (arrived + class.aim_ms + class.aim_stretch * cost).min(due),
            due,
            state: State::Held,
            prior,
            answered: false,
            call_tries: 0,
        };
        let prior_held = prior.and_then(|p| self.requests.get(&p)).is_some_and(|p| p.state == State::Held);
        if prior.is_some() {
            // A repeat is never refused or run once its first try ran: it takes that try's result. While
            // the first try is still held, it waits beside it. Reads of one subject share an answer alike.
            self.requests.insert(a.id, request);
            if self.memory_used() > self.set.memory_kb * ROOM_USED {
                self.requests.remove(&a.id);
                let refusal = self.refusal(a.id, self.clear_ms, false);
                out.push(if keyed { Action::Fail(a.id) } else { refusal });
            } else if !prior_held {
                self.set_state(a.id, State::Reusing);
                out.push(Action::Reuse(a.id));
            }
            return;
        }
        if self.is_after_grace(arrived) {
            return out.push(self.refusal(a.id, f64::INFINITY, false));
        }
        if self.is_sick(now) {
            return out.push(self.refusal(a.id, f64::INFINITY, false));
        }
        // Others are likely loaded too, and each one the caller walked to would pay for one more read. At
        // level 0 the cut is idle for first tries: what is held clears in time. Marked further tries stay
        // under it, or a storm of them would outlast its cause. The gauge is late: while a run could start,
        // the cut rests.
        let idle = self.held() == 0
            && self.has_run_room(now)
            && !self.calls_block(now)
            && self.age.value() < FRESH_RUNS * self.usual_and_aim().0
            && self.failing.value() < FAILING;
        if request.rank < self.cut && (a.retry || self.level > 0 && !idle) {
            return out.push(self.refusal(a.id, self.clear_ms, true));
        }
        let need = request.held_kb * self.set.run_factor;
        let room = self.set.memory_kb * ROOM_USED - self.memory_used();
        if need + if keyed { self.set.key_kb } else { 0.0 } > room {
            return out.push(self.refusal(a.id, self.clear_ms, false));
        }
        self.requests.insert(a.id, request);
        if keyed || shared && need + self.set.key_kb <= room {
            self.keep(now, a.id, out);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        out: &mut Actions,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Cancelled && !r.answered && self.set.preemption == Preemption::Suspend {
            r.state = State::Paused;
            return;
        }
        let (class, calling, reused) = (r.class, r.state == State::Calling, r.state == State::Reusing);
        let lost = outcome == Outcome::Cancelled && !r.answered;
        if !reused && matches!(outcome, Outcome::Ok | Outcome::Error) {
            let failed = f64::from(u8::from(outcome == Outcome::Error));
            self.failing.add(failed);
        }
        if !reused {
            self.note_progress(now);
        }
        if calling {
            self.call_over(id, now + self.set.linger_ms);
        }
        // What a run that stood still took says nothing of the next one.
        if outcome == Outcome::Ok && !reused && now - took_ms > self.stood_still {
            self.learn(now, class, sane(took_ms, 0.0, 1e9));
        }
        if lost {
            // A run we did not stop came back: it is answered, since it may have had its effect.
            out.push(Action::Fail(id));
        }
        if outcome == Outcome::TooLate {
            self.give_entry_back(now, id, out);
        } else if self.set.classes[class].effect == Effect::Safe {
            self.keep_fresh(now, id, outcome, out);
        }
        self.requests.remove(&id);
    }

    /// A read's answer serves others while it is fresh; one that ended otherwise serves none.
    pub(super) fn keep_fresh(&mut self, now: f64, id: RequestId, outcome: Outcome, out: &mut Actions) {
        let Some(until) = self.entries.get_mut(&id) else { return };
        if outcome == Outcome::Ok {
            *until = until.min(now + self.set.fresh_ms);
        } else {
            self.entries.remove(&id);
            out.push(Action::Forget(id));
        }
    }

    pub(super) fn on_gone(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.answered = true;
            self.let_go(now, id, out);
        }
    }

    pub(super) fn on_drain(&mut self, now: f64, stop_at: f64, out: &mut Actions) {
        let stop = sane(stop_at, now, f64::MAX);
        self.leaving = Some((now, stop));
        for r in self.requests.values_mut() {
            r.due = r.due.min(stop);
            r.aim = r.aim.min(stop);
        }
        out.push(Action::Health(false));
        self.say(0.0, out);
    }

    pub(super) fn on_timer(&mut self, now: f64, gauges: Gauges, out: &mut Actions) {
        out.push(Action::Timer { token: TIMER, delay_ms: TIMER_MS });
        if self.set.fresh_ms > 0.0 {
            // Entries of reads end before the time they were asked for.
            let over = self.entries.iter().filter(|(_, until)| **until <= now);
            out.extend(over.map(|(id, _)| Action::Forget(*id)));
        }
        self.entries.retain(|_, until| *until > now);
        self.calls.retain(|(_, _, until)| *until > now - self.set.calls_window_ms);
        self.step_level(now, gauges);
        self.step_health(now, gauges == Gauges::default(), out);
        self.step_cut();
        let running = self.count(State::Running) as f64 / self.set.cores;
        self.step_idle_limit(gauges.busy.unwrap_or(running), out);
        if self.leaving.is_none() {
            self.say(LEVELS[self.level].share * self.ramp(now), out);
        }
    }
}
