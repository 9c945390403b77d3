//! What comes in: each event brings the state up to date and settles what can be settled at once.

use super::level::{FAILING, LEVELS};
use super::*;

/// Weight of an arrival in the mix of classes.
const MIX_BLEND: f64 = 0.02;
/// Usual run times that reads may be old on the average while the cut still rests beside idle cores.
const FRESH_RUNS: f64 = 2.0;
/// Part of the rank and worth that a marked further try keeps.
const RETRY_PART: f64 = 0.1;

impl AdmissionController {
    pub(super) fn on_start(&mut self, actions: &mut Actions) {
        actions.push(Action::SetHealth(true));
        if self.settings.signal == Signal::Share {
            self.said = self.ramp(self.born);
            actions.push(Action::AdvertiseShare(self.said));
        }
        actions.push(Action::SetTimer { token: TIMER, delay_ms: TIMER_MS });
    }

    pub(super) fn on_arrive(&mut self, now: f64, a: Arrival, actions: &mut Actions) {
        if self.requests.contains_key(&a.id) {
            return;
        }
        // A class past the list has no stated effect or aim: not running it is the one safe answer.
        let Some(class) = self.settings.classes.get(a.class).cloned() else {
            return actions.push(Action::Reject { id: a.id, retry_after_ms: 0.0, do_not_retry: true });
        };
        for (at, l) in self.learned.iter_mut().enumerate() {
            l.part += (if at == a.class { 1.0 } else { 0.0 } - l.part) * MIX_BLEND;
        }
        self.arrivals += 1.0;
        let age = clamp_finite(a.age_ms, 0.0, class.client_timeout_ms);
        self.age.add(age);
        let arrived = now - age;
        let told = a.deadline.filter(|d| d.is_finite() && *d > 0.0);
        let mut due = told.unwrap_or(arrived + class.client_timeout_ms).max(now);
        if let Some((_, stop)) = self.leaving {
            due = due.min(stop);
        }
        let cost = clamp_finite(a.cost_ms.unwrap_or(0.0), 0.0, 1e9);
        let over = self.over_allowance(a.tenant);
        self.over_allowance_arrivals += f64::from(u8::from(over));
        // A further try has spent part of its aim, and refusing a first try only brings another one to read.
        let part = if over { self.settings.over_quota_weight } else { 1.0 }
            * if a.is_retry { RETRY_PART } else { 1.0 };
        let keyed = class.retry_safety == RetrySafety::IdempotencyKey;
        let shared = class.retry_safety == RetrySafety::Idempotent
            && a.shareable
            && self.settings.shared_result_ttl_ms > 0.0;
        let prior = a.duplicate_of.filter(|p| keyed || shared && self.can_share(*p));
        let request = Request {
            class: a.class,
            request_kb: clamp_finite(a.request_kb, 0.0, 1e12),
            priority: self.place(clamp_finite(a.priority, 0.0, 1.0), over)
                * if a.is_retry { RETRY_PART } else { 1.0 },
            priority_weight: class.priority_weight * part,
            arrived,
            aim: (arrived + class.latency_objective_ms + class.objective_per_cost * cost).min(due),
            due,
            state: State::Held,
            duplicate_of: prior,
            answered: false,
            call_tries: 0,
        };
        let prior_held = prior.and_then(|p| self.requests.get(&p)).is_some_and(|p| p.state == State::Held);
        if prior.is_some() {
            // A repeat is never refused or run once its first try ran: it takes that try's result. While
            // the first try is still held, it waits beside it. Reads of one subject share an answer alike.
            self.requests.insert(a.id, request);
            if self.memory_used() > self.settings.memory_kb * ROOM_USED {
                self.requests.remove(&a.id);
                let refusal = self.refusal(a.id, self.clear_ms, false);
                actions.push(if keyed { Action::Fail(a.id) } else { refusal });
            } else if !prior_held {
                self.set_state(a.id, State::Reusing);
                actions.push(Action::ReuseResult(a.id));
            }
            return;
        }
        if self.is_after_grace(arrived) {
            return actions.push(self.refusal(a.id, f64::INFINITY, false));
        }
        if self.is_sick(now) {
            return actions.push(self.refusal(a.id, f64::INFINITY, false));
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
        if request.priority < self.cut && (a.is_retry || self.level > 0 && !idle) {
            return actions.push(self.refusal(a.id, self.clear_ms, true));
        }
        let need = request.request_kb * self.settings.run_memory_factor;
        let room = self.settings.memory_kb * ROOM_USED - self.memory_used();
        if need + if keyed { self.settings.key_memory_kb } else { 0.0 } > room {
            return actions.push(self.refusal(a.id, self.clear_ms, false));
        }
        self.requests.insert(a.id, request);
        if keyed || shared && need + self.settings.key_memory_kb <= room {
            self.keep(now, a.id, actions);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        actions: &mut Actions,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Cancelled && !r.answered && self.settings.preemption == Preemption::Suspend {
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
            self.call_over(id, now + self.settings.call_linger_ms);
        }
        // What a run that stood still took says nothing of the next one.
        if outcome == Outcome::Ok && !reused && now - took_ms > self.stood_still {
            self.learn(now, class, clamp_finite(took_ms, 0.0, 1e9));
        }
        if lost {
            // A run we did not stop came back: it is answered, since it may have had its effect.
            actions.push(Action::Fail(id));
        }
        if outcome == Outcome::NotStarted {
            self.give_entry_back(now, id, actions);
        } else if self.settings.classes[class].retry_safety == RetrySafety::Idempotent {
            self.keep_fresh(now, id, outcome, actions);
        }
        self.requests.remove(&id);
    }

    /// A read's answer serves others while it is fresh; one that ended otherwise serves none.
    pub(super) fn keep_fresh(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Actions) {
        let Some(until) = self.entries.get_mut(&id) else { return };
        if outcome == Outcome::Ok {
            *until = until.min(now + self.settings.shared_result_ttl_ms);
        } else {
            self.entries.remove(&id);
            actions.push(Action::ReleaseKey(id));
        }
    }

    pub(super) fn on_gone(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.answered = true;
            self.let_go(now, id, actions);
        }
    }

    pub(super) fn on_drain(&mut self, now: f64, stop_at: f64, actions: &mut Actions) {
        let stop = clamp_finite(stop_at, now, f64::MAX);
        self.leaving = Some((now, stop));
        for r in self.requests.values_mut() {
            r.due = r.due.min(stop);
            r.aim = r.aim.min(stop);
        }
        actions.push(Action::SetHealth(false));
        self.say(0.0, actions);
    }

    pub(super) fn on_timer(&mut self, now: f64, gauges: Gauges, actions: &mut Actions) {
        actions.push(Action::SetTimer { token: TIMER, delay_ms: TIMER_MS });
        if self.settings.shared_result_ttl_ms > 0.0 {
            // Entries of reads end before the time they were asked for.
            let over = self.entries.iter().filter(|(_, until)| **until <= now);
            actions.extend(over.map(|(id, _)| Action::ReleaseKey(*id)));
        }
        self.entries.retain(|_, until| *until > now);
        self.call_reservations.retain(|(_, _, until)| *until > now - self.settings.upstream_window_ms);
        self.step_level(now, gauges);
        self.step_health(now, gauges == Gauges::default(), actions);
        self.step_cut();
        let running = self.count(State::Running) as f64 / self.settings.cores;
        self.step_idle_limit(gauges.busy.unwrap_or(running), actions);
        if self.leaving.is_none() {
            self.say(LEVELS[self.level].share * self.ramp(now), actions);
        }
    }
}
