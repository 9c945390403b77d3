//! Faults and unexpected events: absurd numbers, events about unknown requests, suspensions, clients that
//! disconnect and settings that change.

use super::{Machine, Stage};
use crate::recorded::module::{GaugeReadings, IncomingRequest, Input};
use crate::recorded::plan::{Outcome, PreemptionKind};

/// An id that no request has.
const UNKNOWN: u64 = 1_000_000_000;

impl Machine<'_> {
    /// Makes one number of some arrivals absurd.
    pub(super) fn make_absurd(&mut self, incoming: &mut IncomingRequest) {
        if self.random.below(1000) >= self.script.odd {
            return;
        }
        self.cases.count("arrival: absurd number");
        let absurd = self.random.pick(&[f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -7.0, 1e300]);
        match self.random.below(7) {
            0 => incoming.priority = absurd,
            1 => incoming.request_kb = absurd,
            2 => incoming.age_ms = absurd,
            3 => incoming.cost_ms = Some(absurd),
            4 => incoming.deadline = Some(absurd),
            5 => incoming.deadline = Some(1.0),
            _ => incoming.duplicate_of = Some(UNKNOWN),
        }
    }

    /// Generates an unexpected event at some ticks.
    pub(super) fn oddities(&mut self) {
        self.suspend_unrequested();
        if self.random.below(1000) >= self.script.odd {
            return;
        }
        let some_id = self.requests.keys().next().copied().unwrap_or(UNKNOWN);
        let input = match self.random.below(9) {
            0 => Input::Ended { id: UNKNOWN, outcome: Outcome::Ok, took_ms: 5.0 },
            1 => Input::ClientGone(UNKNOWN),
            2 => Input::CallNeeded(UNKNOWN),
            3 => Input::CallEnded { id: UNKNOWN, outcome: Outcome::Ok, took_ms: f64::NAN },
            4 => Input::Timer { token: 77, readings: GaugeReadings::default() },
            5 => Input::Arrive(IncomingRequest { id: some_id, ..IncomingRequest::default() }),
            6 => Input::Arrive(IncomingRequest { id: UNKNOWN, class: 99, ..IncomingRequest::default() }),
            7 => Input::Ended { id: UNKNOWN, outcome: Outcome::Cancelled, took_ms: f64::INFINITY },
            _ => return self.cancel_unrequested(),
        };
        self.cases.count("event: unknown id, class or token");
        // An id that is not in use yet would be a new request.
        if !matches!(&input, Input::Arrive(a) if a.id == UNKNOWN && a.class == 0) {
            self.inputs.push_back(input);
        }
    }

    /// Cancels a run without a request by the controller.
    fn cancel_unrequested(&mut self) {
        let running = self.requests.iter().find(|(_, r)| r.stage == Stage::Running && !r.answered);
        if let Some(id) =
            running.map(|(id, _)| *id).filter(|_| self.plan.preemption != PreemptionKind::Suspend)
        {
            self.cases.count("run: stopped unasked");
            self.end(id, Outcome::Cancelled);
        }
    }

    /// Suspends a run without a request by the controller, which resumes it later.
    fn suspend_unrequested(&mut self) {
        if !self.script.suspensions
            || self.plan.preemption != PreemptionKind::Suspend
            || !self.random.percent(4)
        {
            return;
        }
        let running = self.requests.iter_mut().find(|(_, r)| r.stage == Stage::Running && !r.answered);
        if let Some((id, r)) = running {
            r.stage = Stage::Suspended;
            self.cases.count("run: paused");
            let took_ms = (self.now - r.since) as f64;
            self.inputs.push_back(Input::Ended { id: *id, outcome: Outcome::Cancelled, took_ms });
        }
    }

    /// Disconnects a client at some ticks.
    pub(super) fn disconnect_client(&mut self) {
        let waiting = self.requests.iter().filter(|(_, r)| !r.answered);
        let waiting: Vec<u64> = waiting.map(|(id, _)| *id).collect();
        if waiting.is_empty() || self.random.below(40) > 0 {
            return;
        }
        let id = self.random.pick(&waiting);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        self.cases.count(match r.stage {
            Stage::Queued => "gone: queued",
            Stage::Running => "gone: running",
            Stage::AtCall | Stage::Calling { .. } => "gone: at a call",
            Stage::Suspended => "gone: paused",
            Stage::Reusing => "gone: reusing",
        });
        self.inputs.push_back(Input::ClientGone(id));
        self.end_abandoned(id);
    }

    pub(super) fn reconfigure(&mut self) {
        let Some(every) = self.script.reconfigure_every else { return };
        if self.now % every > 0 {
            return;
        }
        let (mut quotas, mut limits) = (Vec::new(), Vec::new());
        if self.random.percent(70) {
            let tenant = self.random.below(self.plan.quotas.len() as u64 + 2) as usize;
            let rates =
                [Some(0.0), Some(5.0), Some(80.0), Some(f64::NAN), Some(f64::INFINITY), Some(-3.0), None];
            let rate = self.random.pick(&rates);
            self.cases.count(match rate {
                Some(rate) if rate.is_finite() && rate >= 0.0 => "reconfigured: quota",
                Some(_) => "reconfigured: absurd quota",
                None => "reconfigured: tenant removed",
            });
            quotas.push((tenant, rate));
        }
        if self.random.percent(60) {
            let class = self.random.below(self.plan.classes.len() as u64 + 1) as usize;
            let limit = self.random.pick(&[Some(0), Some(1), Some(2), Some(50), None, None]);
            let set = limit.is_some();
            self.cases.count(if set { "reconfigured: class limit" } else { "reconfigured: limit lifted" });
            limits.push((class, limit));
        }
        self.inputs.push_back(Input::Reconfigured { quotas, limits });
    }
}
