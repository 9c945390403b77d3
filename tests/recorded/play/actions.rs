//! The module's actions, carried out on the machine.

use super::{Kept, Machine, Phase, Stage, Step};
use crate::recorded::module::{Input, Output};
use crate::recorded::plan::{Outcome, Repeat, Stopping};

/// The longest that an upstream call lasts here whatever its limit, ms.
const CALL_MAX_MS: f64 = 3000.0;

impl Machine<'_> {
    pub(super) fn carry_out(&mut self, step: Step) {
        let arrived = match &step.input {
            Input::Arrive(arriving) => Some(arriving.id),
            _ => None,
        };
        for output in step.outputs {
            match output {
                Output::Run(id) => self.run(id),
                Output::Refuse { id, last, .. } => {
                    if arrived == Some(id) {
                        self.note_refused_arrival(id, last, step.cut);
                    }
                    self.answer(id);
                }
                Output::Fail(id) => self.answer(id),
                Output::Reuse(id) => self.reuse(id),
                Output::Preempt(id) => self.preempt(id),
                Output::Keep { id, ttl_ms } => self.keep(id, ttl_ms),
                Output::Forget(id) => drop(self.kept.remove(&id)),
                Output::Call { id, limit_ms } => self.call(id, limit_ms),
                Output::SkipCall(id) => self.skip_call(id),
                Output::Timer { token, delay_ms } => {
                    if let Some(at) = self.timer_at(delay_ms as u64) {
                        self.timers.push((at, token));
                    }
                }
                Output::Share(_) | Output::Health(_) | Output::IdleLimit(_) | Output::Log(_) => {}
            }
        }
    }

    fn note_refused_arrival(&mut self, id: u64, last: bool, cut: f64) {
        let Some(r) = self.requests.get(&id) else { return };
        let flooding = r.tenant == 0 && self.within(self.script.flood);
        let need = r.queued_kb as f64 * self.plan.run_factor;
        let full = self.memory_kb() - r.queued_kb as f64 + need > 0.9 * self.plan.memory_kb;
        if last && cut > 0.0 {
            self.cases.count("cut: arrival refused");
            if flooding {
                self.cases.count("tenant: refused in its flood");
            }
        }
        if !last && full {
            self.cases.count("rule: refused for memory");
        }
    }

    fn run(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return self.too_late(id) };
        let resumed = r.stage == Stage::Paused;
        r.stage = Stage::Running;
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.phase = Phase::Running;
        }
        if resumed {
            self.cases.count("run: resumed");
            return;
        }
        r.since = self.now;
        // The machine finds the request over before it starts.
        if self.script.odd > 0 && self.random.percent(1) {
            self.cases.count("run: too late to start");
            self.end(id, Outcome::TooLate);
        }
    }

    /// The client left while the module, which is yet to hear of it, started its request.
    fn too_late(&mut self, id: u64) {
        self.cases.count("gone: at the start of a run");
        self.inputs.push_back(Input::Ended { id, outcome: Outcome::TooLate, took_ms: 0.0 });
    }

    fn answer(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        if r.stage != Stage::Queued {
            self.cases.count("rule: answered while under way");
        }
        self.let_go(id);
    }

    /// What becomes of a request that nobody waits for.
    pub(super) fn let_go(&mut self, id: u64) {
        match self.requests.get(&id).map(|r| r.stage) {
            Some(Stage::Queued | Stage::Paused | Stage::Reusing) => drop(self.requests.remove(&id)),
            Some(Stage::AtCall | Stage::Calling { .. }) => self.end(id, Outcome::Cancelled),
            Some(Stage::Running) | None => {}
        }
    }

    fn reuse(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return self.too_late(id) };
        (r.stage, r.since) = (Stage::Reusing, self.now);
        let keyed = self.plan.classes[r.class].repeat == Repeat::Keyed;
        self.cases.count(if keyed { "rule: duplicate not run" } else { "read: result shared" });
    }

    fn preempt(&mut self, id: u64) {
        self.cases.count(match self.plan.stopping {
            Stopping::Off => "preempt: off",
            Stopping::Abort => "preempt: abort",
            Stopping::Suspend => "preempt: suspend",
        });
        if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Running) {
            self.end(id, Outcome::Cancelled);
        }
    }

    fn keep(&mut self, id: u64, ttl_ms: f64) {
        let Some((class, Some(group))) = self.requests.get(&id).map(|r| (r.class, r.group)) else { return };
        let until = self.now as f64 + ttl_ms;
        self.kept.insert(id, Kept { class, group, until, phase: Phase::Queued });
        self.holders.insert((class, group), id);
        // The entry of a request that ended without a run was handed on.
        self.kept.retain(|other, kept| *other == id || kept.class != class || kept.group != group);
    }

    fn call(&mut self, id: u64, limit_ms: f64) {
        let bad = self.within(self.script.upstream_bad);
        let failures =
            [Outcome::Error, Outcome::Refused, Outcome::TimedOut, Outcome::Unreachable, Outcome::CutOff];
        let down = bad && self.script.upstream_down;
        let fails = self.random.percent(if down {
            95
        } else if bad {
            70
        } else {
            12
        });
        let outcome = match fails {
            true if down => self.random.pick(&[Outcome::Refused, Outcome::Unreachable]),
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
