//! Advances the runs and the upstream calls: ends of runs, ends of calls, and reused results.

use super::{Machine, Phase, Stage, TICK_MS};
use crate::recorded::module::Input;
use crate::recorded::plan::Outcome;

/// Work after which a run fails in a time span of failures, microseconds of one core.
const FAILING_AFTER: u64 = 5000;

impl Machine<'_> {
    /// Returns the speed of the cores, in percent.
    fn speed(&self) -> u64 {
        if self.plan.cold_start { (30 + self.now * 70 / 10_000).min(100) } else { 100 }
    }

    /// Advances the runs by one tick of work, shared among them.
    pub(super) fn work(&mut self) {
        let (cores, on) = (self.script.cores, self.running() as u64);
        let each = TICK_MS * 1000 * self.speed() / 100 * cores / on.max(cores);
        let (hang, failing) = (self.within(self.script.hang), self.within(self.script.failing));
        let ids: Vec<u64> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(r) = self.requests.get_mut(&id).filter(|r| r.stage == Stage::Running) else { continue };
            if hang || r.hung_until > self.now {
                self.cases.count(if hang { "run: all hang" } else { "run: hung alone" });
                continue;
            }
            r.work_left = r.work_left.saturating_sub(each);
            let done = r.work - r.work_left;
            if failing && done > FAILING_AFTER {
                self.cases.count("run: fails with all others");
                self.end(id, Outcome::Error);
            } else if r.work_left == 0 {
                let outcome = if self.random.percent(1) { Outcome::Error } else { Outcome::Ok };
                self.end(id, outcome);
            } else if r.call_ahead && done > r.work / 2 {
                r.call_ahead = false;
                if r.answered {
                    self.end(id, Outcome::Cancelled);
                } else {
                    r.stage = Stage::AtCall;
                    self.inputs.push_back(Input::CallNeeded(id));
                }
            }
        }
    }

    /// Ends a run or the reuse of a result.
    pub(super) fn end(&mut self, id: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&id) else { return };
        let reused = request.stage == Stage::Reusing;
        if let Some(reserved) = self.reserved.get_mut(&id).filter(|_| !reused) {
            reserved.phase = Phase::Ended { at: self.now, good: outcome == Outcome::Ok };
        }
        let took_ms = (self.now - request.since) as f64;
        self.inputs.push_back(Input::Ended { id, outcome, took_ms });
    }

    pub(super) fn end_calls(&mut self) {
        let over = |stage: Stage| match stage {
            Stage::Calling { since, until, outcome } if until <= self.now => Some((since, outcome)),
            _ => None,
        };
        let calls = self.requests.iter().filter_map(|(id, r)| Some((*id, over(r.stage)?)));
        let calls: Vec<(u64, (u64, Outcome))> = calls.collect();
        for (id, (since, outcome)) in calls {
            let Some(r) = self.requests.get_mut(&id) else { continue };
            r.stage = if outcome == Outcome::Ok { Stage::Running } else { Stage::AtCall };
            self.count_call(outcome);
            let took_ms = (self.now - since) as f64;
            self.inputs.push_back(Input::CallEnded { id, outcome, took_ms });
        }
    }

    fn count_call(&mut self, outcome: Outcome) {
        let case = match (self.plan.upstream_call_share.is_some(), outcome) {
            (true, Outcome::Ok) => "call with a share: ok",
            (true, Outcome::Error) => "call with a share: error",
            (true, Outcome::Rejected) => "call with a share: refused",
            (true, Outcome::TimedOut) => "call with a share: timed out",
            (true, Outcome::Unreachable) => "call with a share: unreachable",
            (true, _) => "call with a share: cut off",
            (false, Outcome::Ok) => "call without a share: ok",
            (false, Outcome::Error) => "call without a share: error",
            (false, Outcome::Rejected) => "call without a share: refused",
            (false, Outcome::TimedOut) => "call without a share: timed out",
            (false, Outcome::Unreachable) => "call without a share: unreachable",
            (false, _) => "call without a share: cut off",
        };
        self.cases.count(case);
    }

    /// Ends duplicates with the result of their original as soon as it is available.
    pub(super) fn end_reuses(&mut self) {
        let reuses = self.requests.iter().filter(|(_, r)| r.stage == Stage::Reusing);
        let reuses: Vec<(u64, usize, Option<u64>)> = reuses.map(|(id, r)| (*id, r.class, r.group)).collect();
        for (id, class, group) in reuses {
            let holder = group.and_then(|group| self.holders.get(&(class, group)));
            let phase = holder.and_then(|holder| self.reserved.get(holder)).map(|reserved| reserved.phase);
            match phase {
                Some(Phase::Running) => {}
                Some(Phase::Ended { good: true, .. }) => self.end(id, Outcome::Ok),
                _ => self.end(id, Outcome::Error),
            }
        }
    }
}
