//! Generates the requests that arrive.

use super::{Machine, Phase, Request, Stage, TICK_MS, WORK_MS};
use crate::recorded::module::{IncomingRequest, Input};
use crate::recorded::plan::RetryKind;

/// Number of different subjects of reads.
const SUBJECTS: u64 = 6;
/// Number of recent keys from which duplicates choose.
const LATE_KEYS: usize = 12;

impl Machine<'_> {
    pub(super) fn arrivals(&mut self) {
        let loads = &self.script.loads;
        let load = loads[(self.now / self.script.phase_ms) as usize % loads.len()];
        let mut thousandths = load * TICK_MS * self.script.cores * 1000 / (100 * WORK_MS);
        while thousandths > 0 {
            if self.random.below(1000) < thousandths {
                self.arrive();
            }
            thousandths = thousandths.saturating_sub(1000);
        }
    }

    fn arrive(&mut self) {
        self.last_id += 1;
        let id = self.last_id;
        let class = self.random.below(self.plan.classes.len() as u64) as usize;
        let group = self.group(id, class);
        let duplicate_of = group.and_then(|group| self.duplicate_of(class, group));
        let tenant = self.tenant();
        let request_kb = 5 + self.random.below(55);
        let age_ms = self.age_ms();
        let retry_percent = if duplicate_of.is_some() { 50 } else { 8 };
        let mut incoming = IncomingRequest {
            id,
            class,
            tenant,
            shareable: group.is_some() && self.plan.classes[class].retry_safety == RetryKind::Safe,
            deadline: self.deadline(class, age_ms),
            cost_ms: self.random.percent(50).then(|| self.random.below(120) as f64),
            request_kb: request_kb as f64,
            priority: self.random.below(1000) as f64 / 1000.0,
            is_retry: self.random.percent(retry_percent),
            age_ms: age_ms as f64,
            duplicate_of,
        };
        self.make_absurd(&mut incoming);
        let work = WORK_MS * (300 + self.random.below(1400));
        let hung = self.script.hang.is_some() && self.random.percent(1);
        let request = Request {
            class,
            tenant,
            group,
            request_kb,
            stage: Stage::Queued,
            work_left: work,
            work,
            call_ahead: self.plan.classes[class].makes_upstream_calls
                && self.plan.has_upstream
                && self.random.percent(60),
            since: self.now,
            answered: false,
            hung_until: if hung { self.now + 4000 } else { 0 },
        };
        self.requests.insert(id, request);
        self.count_arrival(&incoming);
        self.inputs.push_back(Input::Arrive(incoming));
    }

    /// Returns the key of a keyed request, which may be a recent one, or the subject of a read.
    fn group(&mut self, id: u64, class: usize) -> Option<u64> {
        match self.plan.classes[class].retry_safety {
            RetryKind::Never => None,
            RetryKind::Safe => self.random.percent(60).then(|| self.random.below(SUBJECTS)),
            RetryKind::Keyed => {
                let keys = self.keys.entry(class).or_default();
                if !keys.is_empty() && self.random.percent(self.script.duplicates) {
                    let late = keys.len().saturating_sub(LATE_KEYS);
                    return Some(self.random.pick(&keys[late..]));
                }
                keys.push(id);
                Some(id)
            }
        }
    }

    /// Returns the request with a reservation that a new one of this class and key or subject duplicates.
    fn duplicate_of(&mut self, class: usize, group: u64) -> Option<u64> {
        let keyed = self.plan.classes[class].retry_safety == RetryKind::Keyed;
        let holder = *self.holders.get(&(class, group))?;
        let Some(reserved) = self.reserved.get(&holder) else {
            self.cases.count(if keyed { "duplicate: prior forgotten" } else { "read: prior forgotten" });
            return None;
        };
        let phase = reserved.phase;
        let stale = match phase {
            Phase::Ended { at, good } => !good || (self.now - at) as f64 > self.plan.shared_result_ttl_ms,
            _ => false,
        };
        if !keyed && stale {
            self.cases.count("read: prior stale");
            return None;
        }
        self.cases.count(match (keyed, phase) {
            (true, Phase::Queued) => "duplicate: prior queued",
            (true, Phase::Running) => "duplicate: prior running",
            (true, Phase::Ended { .. }) => "duplicate: prior ended",
            (false, Phase::Queued) => "read: prior queued",
            (false, Phase::Running) => "read: prior running",
            (false, Phase::Ended { .. }) => "read: prior ended",
        });
        Some(holder)
    }

    /// Returns the age of a request on arrival. After a shutdown request, some requests reached the machine
    /// exactly at the end of the drain grace, or a millisecond before or after it.
    fn age_ms(&mut self) -> u64 {
        let age_ms = self.random.below(self.script.age_ms);
        let Some((requested, _)) = self.shutdown.filter(|_| self.random.percent(50)) else { return age_ms };
        let edge = requested + self.plan.drain_grace_ms as u64 + self.random.below(3);
        match (self.now + 1).checked_sub(edge) {
            Some(age_ms) if age_ms < 100 => {
                self.cases.count("drain: arrival at the end of the grace");
                age_ms
            }
            _ => age_ms,
        }
    }

    fn tenant(&mut self) -> usize {
        if self.within(self.script.flood) && self.random.percent(90) {
            self.cases.count("tenant: arrival in its flood");
            return 0;
        }
        let known = self.plan.quotas.len() as u64;
        self.random.below(known + 1) as usize
    }

    fn deadline(&mut self, class: usize, age_ms: u64) -> Option<f64> {
        if !self.plan.passes_deadline || self.random.percent(20) {
            return None;
        }
        let patience = self.plan.classes[class].client_timeout_ms;
        let patience = if patience.is_finite() { patience.clamp(0.0, 10_000.0) as u64 } else { 2000 };
        let waits = patience * (10 + self.random.below(90)) / 100;
        Some((self.now + waits) as f64 - age_ms as f64)
    }

    fn count_arrival(&mut self, incoming: &IncomingRequest) {
        let IncomingRequest { tenant, is_retry, deadline, .. } = *incoming;
        if tenant >= self.plan.quotas.len() {
            self.cases.count("tenant: unknown");
        }
        if is_retry {
            self.cases.count("arrival: marked as a retry");
        }
        self.cases.count(if deadline.is_some() {
            "arrival: deadline stated"
        } else {
            "arrival: no deadline"
        });
        if let Some((requested_at, _)) = self.shutdown {
            let arrived = self.now as f64 - incoming.age_ms;
            let after = arrived > requested_at as f64 + self.plan.drain_grace_ms;
            self.cases.count(if after {
                "drain: arrival after the grace"
            } else {
                "drain: arrival in the grace"
            });
        }
    }
}
