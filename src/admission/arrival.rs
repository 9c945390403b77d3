//! The handler of arriving requests: decides on admission and puts admitted requests into the queue.

use super::action::Action;
use super::backpressure::Rejection;
use super::clamp::clamp_finite;
use super::controller::AdmissionController;
use super::event::{Arrival, RequestId};
use super::request::{Request, RequestState};
use super::settings::RetrySafety;

/// Average age of arrivals, in usual run times, below which the instance may count as idle.
const IDLE_ARRIVAL_AGE_RUNS: f64 = 2.0;
/// Factor by which the priority and the weight of a retry are multiplied.
const RETRY_WEIGHT: f64 = 0.1;
/// Upper bound of a request's stated cost, ms.
const MAX_COST_MS: f64 = 1e9;
/// Upper bound of a request's stated memory, kB.
const MAX_REQUEST_KB: f64 = 1e12;

/// A request that is to be admitted or rejected.
struct Candidate {
    id: RequestId,
    request: Request,
    is_retry: bool,
    /// Whether the request's class has idempotency keys.
    keyed: bool,
    /// Whether the request is a read whose result may be reused for others.
    shareable: bool,
}

/// The admission decision on a candidate.
enum Admission {
    /// The candidate gets the result of the request that it duplicates.
    Duplicate,
    /// The candidate is rejected.
    Reject(Rejection),
    /// The candidate is queued.
    Queue {
        /// Whether the candidate's key or subject is reserved.
        reserve: bool,
    },
}

impl AdmissionController {
    /// Handles the arrival of a request; one whose id is already known is ignored.
    pub(super) fn on_arrival(&mut self, now: f64, arrival: &Arrival, actions: &mut Vec<Action>) {
        if self.requests.contains(arrival.id) {
            return;
        }
        let Some(candidate) = self.candidate(now, arrival) else {
            // It is unknown how often work of an unknown class may run, so the client must not retry.
            let id = arrival.id;
            return actions.push(Action::Reject { id, retry_after_ms: 0.0, do_not_retry: true });
        };
        match self.admission(now, &candidate) {
            Admission::Duplicate => self.admit_duplicate(candidate, actions),
            Admission::Reject(rejection) => actions.push(self.reject(candidate.id, rejection)),
            Admission::Queue { reserve } => {
                self.requests.insert(candidate.id, candidate.request);
                if reserve {
                    self.reserve_key(now, candidate.id, actions);
                }
            }
        }
    }

    /// Returns the decision of the first admission rule that applies.
    fn admission(&self, now: f64, candidate: &Candidate) -> Admission {
        let request = &candidate.request;
        if request.duplicate_of.is_some() {
            return Admission::Duplicate;
        }
        if self.is_after_grace(request.arrived_at) {
            return Admission::Reject(Rejection { retry_after_ms: f64::INFINITY, do_not_retry: false });
        }
        if self.faults.is_faulty(now, self.run_activity(now)) {
            return Admission::Reject(Rejection { retry_after_ms: f64::INFINITY, do_not_retry: false });
        }
        let retry_after_ms = self.overload.queue_drain_ms();
        if self.is_shed(now, candidate) {
            return Admission::Reject(Rejection { retry_after_ms, do_not_retry: true });
        }
        let free_kb = self.free_memory_kb();
        let run_kb = self.memory.run_kb(request);
        let reserved_run_kb = run_kb + self.memory.key_kb();
        let required_kb = if candidate.keyed { reserved_run_kb } else { run_kb };
        if required_kb > free_kb {
            return Admission::Reject(Rejection { retry_after_ms, do_not_retry: false });
        }
        Admission::Queue { reserve: candidate.keyed || candidate.shareable && reserved_run_kb <= free_kb }
    }

    /// Returns whether the candidate is shed because it is below the priority threshold.
    ///
    /// The threshold applies to retries at every overload level. It applies to first attempts above level 0
    /// only, and not while the instance has idle capacity, since the gauges lag behind the load.
    fn is_shed(&self, now: f64, candidate: &Candidate) -> bool {
        candidate.request.priority < self.threshold.value()
            && (candidate.is_retry || self.overload.level() > 0 && !self.has_idle_capacity(now))
    }

    /// Returns whether a run could start immediately and would likely succeed.
    fn has_idle_capacity(&self, now: f64) -> bool {
        let (counts, capacity) = (self.run_counts(), self.capacity(now));
        let usual_run_ms = self.estimates.usual_run(&self.settings.classes).run_ms;
        self.queued() == 0
            && self.concurrency.has_capacity(counts, capacity)
            && !self.concurrency.is_blocked_by_calls(counts, capacity)
            && self.overload.arrival_age_ms() < IDLE_ARRIVAL_AGE_RUNS * usual_run_ms
            && !self.faults.has_frequent_failures()
    }

    /// Admits a duplicate, which is neither run nor rejected once the request that it duplicates ran.
    ///
    /// The duplicate waits while the original is still queued and reuses its result otherwise.
    fn admit_duplicate(&mut self, candidate: Candidate, actions: &mut Vec<Action>) {
        let Candidate { id, request, keyed, .. } = candidate;
        let original_is_queued = self.requests.waits_for_original(&request);
        self.requests.insert(id, request);
        if self.free_memory_kb() < 0.0 {
            self.requests.remove(id);
            let retry_after_ms = self.overload.queue_drain_ms();
            let rejection = Rejection { retry_after_ms, do_not_retry: false };
            actions.push(if keyed { Action::Fail(id) } else { self.reject(id, rejection) });
        } else if !original_is_queued {
            self.requests.set_state(id, RequestState::Reusing);
            actions.push(Action::ReuseResult(id));
        }
    }

    /// Counts the arrival and returns its request; `None` if its class is unknown.
    fn candidate(&mut self, now: f64, arrival: &Arrival) -> Option<Candidate> {
        let class = self.settings.classes.get(arrival.class)?;
        let age_ms = clamp_finite(arrival.age_ms, 0.0, class.client_timeout_ms);
        let over_quota = self.tenant_quota.record_arrival(
            arrival.tenant,
            &self.settings.tenant_quotas,
            self.traffic.observed_ms(),
        );
        self.estimates.record_arrival(arrival.class);
        self.overload.record_arrival_age(age_ms);
        self.traffic.record_arrival();
        if over_quota {
            self.traffic.record_over_quota();
        }
        let keyed = class.retry_safety == RetrySafety::IdempotencyKey;
        let shareable = class.retry_safety == RetrySafety::Idempotent
            && arrival.shareable
            && self.reservations.shares_results();
        let is_duplicate = |original: &RequestId| keyed || shareable && self.has_shared_result(*original);
        let quota_weight = if over_quota { self.settings.over_quota_weight } else { 1.0 };
        let retry_weight = if arrival.is_retry { RETRY_WEIGHT } else { 1.0 };
        let priority = clamp_finite(arrival.priority, 0.0, 1.0);
        let arrived_at = now - age_ms;
        let deadline = self.deadline(now, arrived_at + class.client_timeout_ms, arrival.deadline);
        let cost_ms = clamp_finite(arrival.cost_ms.unwrap_or(0.0), 0.0, MAX_COST_MS);
        let objective_at = arrived_at + class.latency_objective_ms + class.objective_per_cost * cost_ms;
        let request = Request {
            class: arrival.class,
            request_kb: clamp_finite(arrival.request_kb, 0.0, MAX_REQUEST_KB),
            priority: self.traffic.priority_quantile(priority, over_quota) * retry_weight,
            priority_weight: class.priority_weight * (quota_weight * retry_weight),
            arrived_at,
            objective_at: objective_at.min(deadline),
            deadline,
            state: RequestState::Queued,
            duplicate_of: arrival.duplicate_of.filter(is_duplicate),
            answered: false,
            call_retries: 0,
        };
        Some(Candidate { id: arrival.id, request, is_retry: arrival.is_retry, keyed, shareable })
    }

    /// Returns the stated deadline or else the end of the client's timeout, capped at the stop of a shutdown.
    fn deadline(&self, now: f64, client_timeout_at: f64, stated: Option<f64>) -> f64 {
        let stated = stated.filter(|deadline| deadline.is_finite() && *deadline > 0.0);
        let deadline = stated.unwrap_or(client_timeout_at).max(now);
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.stop_at()))
    }

    /// Returns whether the result of the read `original` is cached or still expected.
    fn has_shared_result(&self, original: RequestId) -> bool {
        let original_request = self.requests.get(original);
        original_request.map_or(self.reservations.contains(original), |request| !request.answered)
    }
}
