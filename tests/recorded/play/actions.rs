//! Carries out the controller's actions on the machine.

use super::{Machine, Phase, Reservation, Stage, Step};
use crate::recorded::module::{Input, Output};
use crate::recorded::plan::{Outcome, PreemptionKind, RetryKind};

/// Maximum duration of an upstream call, whatever its timeout, ms.
const CALL_MAX_MS: f64 = 3000.0;

impl Machine<'_> {
    pub(super) fn carry_out(&mut self, step: Step) {
        let arrived = match &step.input {
            Input::Arrive(incoming) => Some(incoming.id),
            _ => None,
        };
        for output in step.outputs {
            match output {
                Output::Run(id) => self.run(id),
                Output::Reject { id, no_retry, .. } => {
                    if arrived == Some(id) {
                        self.count_rejected_arrival(id, no_retry, step.priority_threshold);
                    }
                    self.answer(id);
                }
                Output::Fail(id) => self.answer(id),
                Output::Reuse(id) => self.reuse(id),
                Output::Preempt(id) => self.preempt(id),
                Output::ReserveKey { id, ttl_ms } => self.reserve(id, ttl_ms),
                Output::ReleaseKey(id) => drop(self.reserved.remove(&id)),
                Output::Call { id, limit_ms } => self.call(id, limit_ms),
                Output::SkipCall(id) => self.skip_call(id),
                Output::Timer { token, delay_ms } => {
                    if let Some(at) = self.timer_at(delay_ms as u64) {
                        self.timers.push((at, token));
                    }
                }
                Output::Share(_) | Output::Health(_) | Output::IdleTimeout(_) | Output::Log(_) => {}
            }
        }
    }

    fn count_rejected_arrival(&mut self, id: u64, no_retry: bool, priority_threshold: f64) {
        let Some(r) = self.requests.get(&id) else { return };
        let flooding = r.tenant == 0 && self.within(self.script.flood);
        let need = r.request_kb as f64 * self.plan.run_memory_factor;
        let full = self.memory_kb() - r.request_kb as f64 + need > 0.9 * self.plan.memory_kb;
        if no_retry && priority_threshold > 0.0 {
            self.cases.count("threshold: arrival rejected");
            if flooding {
                self.cases.count("tenant: refused in its flood");
            }
        }
        if !no_retry && full {
            self.cases.count("rule: refused for memory");
        }
    }

    fn run(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return self.report_not_started(id) };
        let resumed = r.stage == Stage::Suspended;
        r.stage = Stage::Running;
        if let Some(reserved) = self.reserved.get_mut(&id) {
            reserved.phase = Phase::Running;
        }
        if resumed {
            self.cases.count("run: resumed");
            return;
        }
        r.since = self.now;
        // The machine detects that the request is over before its run starts.
        if self.script.odd > 0 && self.random.percent(1) {
            self.cases.count("run: too late to start");
            self.end(id, Outcome::NotStarted);
        }
    }

    /// Reports a run as not started: the client had disconnected, and the controller started the run before
    /// it was notified.
    fn report_not_started(&mut self, id: u64) {
        self.cases.count("gone: at the start of a run");
        self.inputs.push_back(Input::Ended { id, outcome: Outcome::NotStarted, took_ms: 0.0 });
    }

    fn answer(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        if r.stage != Stage::Queued {
            self.cases.count("rule: answered while in progress");
        }
        self.end_abandoned(id);
    }

    /// Drops or ends a request for whose answer no client waits; a run continues.
    pub(super) fn end_abandoned(&mut self, id: u64) {
        match self.requests.get(&id).map(|r| r.stage) {
            Some(Stage::Queued | Stage::Suspended | Stage::Reusing) => drop(self.requests.remove(&id)),
            Some(Stage::AtCall | Stage::Calling { .. }) => self.end(id, Outcome::Cancelled),
            Some(Stage::Running) | None => {}
        }
    }

    fn reuse(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return self.report_not_started(id) };
        (r.stage, r.since) = (Stage::Reusing, self.now);
        let keyed = self.plan.classes[r.class].retry_safety == RetryKind::Keyed;
        self.cases.count(if keyed { "rule: duplicate not run" } else { "read: result shared" });
    }

    fn preempt(&mut self, id: u64) {
        self.cases.count(match self.plan.preemption {
            PreemptionKind::Off => "preempt: off",
            PreemptionKind::Abort => "preempt: abort",
            PreemptionKind::Suspend => "preempt: suspend",
        });
        if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Running) {
            self.end(id, Outcome::Cancelled);
        }
    }

    fn reserve(&mut self, id: u64, ttl_ms: f64) {
        let Some((class, Some(group))) = self.requests.get(&id).map(|r| (r.class, r.group)) else { return };
        let until = self.now as f64 + ttl_ms;
        self.reserved.insert(id, Reservation { class, group, until, phase: Phase::Queued });
        self.holders.insert((class, group), id);
        // The reservation of a request that ended without a run is transferred to the new holder.
        self.reserved
            .retain(|other, reserved| *other == id || reserved.class != class || reserved.group != group);
    }

    fn call(&mut self, id: u64, limit_ms: f64) {
        let bad = self.within(self.script.upstream_bad);
        let failures = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::ConnectionLost,
        ];
        let down = bad && self.script.upstream_down;
        let fails = self.random.percent(if down {
            95
        } else if bad {
            70
        } else {
            12
        });
        let outcome = match fails {
            true if down => self.random.pick(&[Outcome::Rejected, Outcome::Unreachable]),
            true => self.random.pick(&failures),
            false => Outcome::Ok,
        };
        let takes = if bad { 100 + self.random.below(900) } else { 5 + self.random.below(60) };
        let limit = limit_ms.clamp(1.0, CALL_MAX_MS) as u64;
        let (takes, outcome) = match outcome {
            Outcome::TimedOut => (limit, outcome),
            _ if takes >= limit => (limit, Outcome::TimedOut),
            _ => (takes, outcome),
        };
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.stage == Stage::AtCall) {
            r.stage = Stage::Calling { since: self.now, until: self.now + takes, outcome };
        }
    }

    fn skip_call(&mut self, id: u64) {
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.stage == Stage::AtCall) {
            r.stage = Stage::Running;
        }
    }
}
