//! Carries out the controller's actions on the machine, and checks the rules that an action can break.

use super::{Entry, Machine, Stage};
use dunlinspread::{Action, Event, Outcome, Preemption, RequestId, RetrySafety, Signal};
use rand::RngExt;

impl Machine {
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.run(id),
            Action::Reject { id, .. } => {
                let ran = self.requests.get(&id).is_some_and(|request| request.ran);
                let safe = self.requests.get(&id).is_some_and(|request| {
                    self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent
                });
                if ran && !safe {
                    self.record_violation(format!("rejected {id}, which ran"));
                }
                self.final_answer(id);
            }
            Action::Fail(id) => self.final_answer(id),
            Action::ReuseResult(id) => self.reuse(id),
            Action::Preempt(id) => self.preempt(id),
            Action::ReserveKey { id, ttl_ms } => {
                let until = self.now + ttl_ms;
                let Some(key) = self.requests.get(&id).and_then(|request| request.key) else { return };
                let entry = Entry { holder: id, until, ran: false, succeeded: None };
                let entry = self.entries.entry(key).or_insert(entry);
                (entry.holder, entry.until) = (id, until);
            }
            Action::ReleaseKey(id) => self.entries.retain(|_, entry| entry.holder != id || entry.ran),
            Action::CallUpstream { id, .. } => {
                let ends = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::TimedOut, Outcome::Rejected];
                let (wait, end) =
                    (self.rng.random_range(5.0..80.0), ends[self.rng.random_range(0..ends.len())]);
                let until = self.now + wait;
                match self.requests.get_mut(&id) {
                    Some(request) if request.stage == Stage::AtCall => {
                        request.stage = Stage::Calling(until, end)
                    }
                    _ => {}
                }
                if !self.settings.has_upstream {
                    self.record_violation(format!("called for {id} without an upstream service"));
                }
            }
            Action::SkipUpstreamCall(id) => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                if request.stage == Stage::AtCall {
                    request.stage = Stage::Running;
                }
                if self.settings.classes[request.class].degraded_weight <= 0.0 {
                    self.record_violation(format!("skipped the call of {id}, which can't be skipped"));
                }
            }
            Action::AdvertiseShare(_) if self.settings.signal != Signal::Share => {
                self.record_violation("advertised a share that clients don't read".to_owned());
            }
            Action::SetTimer { token, delay_ms } => self.timers.push((self.now + delay_ms, token)),
            Action::AdvertiseShare(_) | Action::SetHealth(_) | Action::SetIdleTimeout(_) | Action::Log(_) => {
            }
        }
    }

    pub(super) fn run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, key, arrived_at, was_queued) =
            (request.class, request.key, request.arrived_at, request.stage == Stage::Queued);
        let runs_once = self.settings.classes[class].retry_safety != RetrySafety::Idempotent;
        let preempted = request.preempted;
        if matches!(request.stage, Stage::Queued | Stage::Suspended) {
            request.stage = Stage::Running;
            if was_queued {
                (request.since, request.done_ms, request.ran) = (self.now, 0.0, true);
            }
        }
        if was_queued && runs_once && preempted {
            self.record_violation(format!("ran {id} again after it was preempted"));
        }
        if was_queued
            && self
                .shutdown_at
                .is_some_and(|requested_at| arrived_at > requested_at + self.settings.drain_grace_ms)
        {
            self.record_violation(format!("ran {id}, which arrived after the drain grace"));
        }
        let Some(key) = key.filter(|_| was_queued) else { return };
        let window = self.settings.classes[class].key_window_ms;
        if let Some(entry) = self.entries.get_mut(&key) {
            (entry.ran, entry.succeeded) = (true, None);
        }
        let runs = self.runs.entry(key).or_default();
        let twice = runs.iter().any(|(other, at)| *other != id && arrived_at - at <= window);
        runs.push((id, arrived_at));
        if twice {
            self.record_violation(format!("ran {id}, whose key ran within its window"));
        }
    }

    pub(super) fn reuse(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.stage, request.since) = (Stage::Reusing, self.now);
        let (key, original) = (request.key, request.duplicate_of);
        let running = original.is_some_and(|p| self.requests.contains_key(&p));
        match key.and_then(|key| self.entries.get(&key)) {
            Some(entry) if entry.ran && entry.succeeded.is_none() => {}
            Some(entry) if entry.ran => self.end_reuse(id, entry.succeeded == Some(true)),
            _ if running => {}
            _ => self.end_reuse(id, false),
        }
    }

    pub(super) fn preempt(&mut self, id: RequestId) {
        if self.settings.preemption == Preemption::Off {
            self.record_violation(format!("preempted {id}, although preemption is off"));
        }
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.stage == Stage::Running)
        else {
            return;
        };
        request.preempted = true;
        if request.answered {
            return self.end(id, Outcome::Cancelled);
        }
        request.stage =
            if self.settings.preemption == Preemption::Abort { Stage::Queued } else { Stage::Suspended };
        let took_ms = self.now - request.since;
        self.events.push(Event::RunEnded { id, outcome: Outcome::Cancelled, took_ms });
    }

    /// Records a final answer without a result; a running request continues, and any other one ends.
    pub(super) fn final_answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.answered {
            return self.record_violation(format!("answered {id} twice"));
        }
        request.answered = true;
        match request.stage {
            Stage::Queued | Stage::Suspended | Stage::Reusing => drop(self.requests.remove(&id)),
            Stage::AtCall | Stage::Calling(..) => self.end(id, Outcome::Cancelled),
            Stage::Running => {}
        }
    }
}
