//! Decisions on calls to the upstream service: which are made, their timeouts, and the handling of failures.
//!
//! If the settings limit the number of concurrent calls of the instance, each call reserves the longest time
//! for which it may occupy the upstream service; the unused part of the reservation is released when the call
//! ends. Without such a limit, only the time that remains for the request decides. A call that does not fit
//! is skipped if its class allows it.

use super::clamp::clamp_finite;
use super::event::{Outcome, RequestId};
use super::memory::USED_CAPACITY;
use super::moving_average::{READING_WEIGHT, blend};
use super::request::Request;
use super::settings::{Class, RetrySafety, Settings};
use super::timing::TIMER_PERIOD_MS;

/// Number of usual call times that have to fit into the timeout of a call.
const REQUIRED_CALL_TIMES: f64 = 2.0;
/// Base of the exponential backoff before a retry, ms; the backoff doubles with each retry.
const BACKOFF_MS: f64 = 100.0;
/// Number of retries after which the backoff stops growing.
const MAX_BACKOFF_RETRIES: i32 = 6;
/// Part of the time to the latency objective that a skippable call may take if concurrent calls are not
/// limited.
///
/// The rest leaves time to repeat a call that is never answered.
const SKIPPABLE_CALL_SHARE: f64 = 0.6;
/// Divisor of the capacity; the quotient is the most that a single skippable call may reserve.
const SKIPPABLE_CAPACITY_DIVISOR: f64 = 2.0;
/// Number of immediate retries of an idempotent call that lost its connection or timed out.
const IMMEDIATE_RETRIES: i32 = 2;
/// Upper bound of a reported call time, ms.
const MAX_CALL_MS: f64 = 1e9;
/// Shortest timeout of a call, ms.
const MIN_TIMEOUT_MS: f64 = 1.0;

/// The interval in which a call may occupy the upstream service.
struct CallReservation {
    id: RequestId,
    from: f64,
    until: f64,
}

/// The decision on a call that a request waits for.
pub(super) enum CallDecision {
    /// The call is made now.
    Call {
        /// Time after which the call is abandoned, ms.
        timeout_ms: f64,
    },
    /// The request continues without the call.
    Skip,
    /// The request keeps waiting.
    Wait,
}

/// The decision on a request whose upstream call failed.
pub(super) enum AfterFailure {
    /// The call is retried.
    Retry {
        /// Number of retries including this one, capped where the backoff stops growing.
        retries: i32,
        /// Earliest time of the retry.
        at: f64,
    },
    /// The request continues without the call.
    Skip,
    /// The request fails.
    Fail,
}

/// The calls of the averaging window and the usual time of a call.
pub(super) struct UpstreamCallBudget {
    has_limit: bool,
    /// Total time for which calls may occupy the upstream service in a window, ms; infinite without a limit.
    capacity_ms: f64,
    window_ms: f64,
    linger_ms: f64,
    reservations: Vec<CallReservation>,
    usual_call_ms: f64,
}

impl UpstreamCallBudget {
    /// Creates the budget, before any call.
    pub(super) fn new(settings: &Settings) -> UpstreamCallBudget {
        let capacity_ms = |share: f64| share * USED_CAPACITY * settings.upstream_window_ms;
        UpstreamCallBudget {
            has_limit: settings.upstream_call_share.is_some(),
            capacity_ms: settings.upstream_call_share.map_or(f64::INFINITY, capacity_ms),
            window_ms: settings.upstream_window_ms,
            linger_ms: settings.call_linger_ms,
            reservations: Vec::new(),
            usual_call_ms: 0.0,
        }
    }

    /// Drops the reservations of calls that ended before the averaging window.
    pub(super) fn drop_expired(&mut self, now: f64) {
        self.reservations.retain(|call| call.until > now - self.window_ms);
    }

    /// Records the end of a call.
    pub(super) fn record_end(&mut self, now: f64, id: RequestId, outcome: Outcome, took_ms: f64) {
        let never_ran = never_ran(outcome);
        let linger_ms = if never_ran || outcome == Outcome::Ok { 0.0 } else { self.linger_ms };
        self.release(id, now + linger_ms);
        if !never_ran {
            blend(&mut self.usual_call_ms, clamp_finite(took_ms, 0.0, MAX_CALL_MS));
        }
    }

    /// Records that the request of a call ended before the call did.
    pub(super) fn record_abandoned(&mut self, now: f64, id: RequestId) {
        self.release(id, now + self.linger_ms);
    }

    /// Decides on the call that a request waits for, and reserves its time if the call is made.
    pub(super) fn decide(
        &mut self,
        now: f64,
        id: RequestId,
        request: &Request,
        skippable: bool,
    ) -> CallDecision {
        let free_ms = self.capacity_ms - self.reserved_ms();
        let (remaining_ms, available_ms) = if skippable {
            let share = if self.has_limit { 1.0 } else { SKIPPABLE_CALL_SHARE };
            let available_ms = free_ms.min(self.capacity_ms / SKIPPABLE_CAPACITY_DIVISOR);
            ((request.objective_at - now) * share, available_ms)
        } else {
            (request.deadline - now, free_ms)
        };
        let timeout_ms = (remaining_ms - TIMER_PERIOD_MS).min(available_ms - self.linger_ms);
        let required_ms = self.required_ms();
        if timeout_ms >= required_ms {
            let until = now + timeout_ms + self.linger_ms;
            self.reservations.push(CallReservation { id, from: now, until });
            return CallDecision::Call { timeout_ms };
        }
        if !skippable {
            return CallDecision::Wait;
        }
        if remaining_ms - TIMER_PERIOD_MS < required_ms {
            // A skipped call gives no reading; the estimate decays so that a call is eventually made again.
            self.usual_call_ms *= 1.0 - READING_WEIGHT;
        }
        CallDecision::Skip
    }

    /// Returns the decision on a request whose call failed with `outcome` after `retries` retries.
    pub(super) fn after_failure(
        &self,
        now: f64,
        outcome: Outcome,
        class: &Class,
        retries: i32,
    ) -> AfterFailure {
        let idempotent = class.retry_safety == RetrySafety::Idempotent;
        let retries_at_once = idempotent && !self.has_limit && retries < IMMEDIATE_RETRIES;
        if retries_at_once && matches!(outcome, Outcome::ConnectionLost | Outcome::TimedOut) {
            return AfterFailure::Retry { retries: retries + 1, at: now };
        }
        let never_ran = never_ran(outcome);
        if class.degraded_weight > 0.0 && (self.has_limit || !never_ran) {
            return AfterFailure::Skip;
        }
        if never_ran || idempotent {
            let retries = (retries + 1).min(MAX_BACKOFF_RETRIES);
            return AfterFailure::Retry { retries, at: now + BACKOFF_MS * f64::from(1 << retries) };
        }
        AfterFailure::Fail
    }

    /// Returns the shortest timeout with which a call is worth making, ms.
    fn required_ms(&self) -> f64 {
        let largest_ms = self.capacity_ms / SKIPPABLE_CAPACITY_DIVISOR - self.linger_ms;
        (REQUIRED_CALL_TIMES * self.usual_call_ms).min(largest_ms).max(MIN_TIMEOUT_MS)
    }

    fn reserved_ms(&self) -> f64 {
        self.reservations.iter().map(|call| call.until - call.from).sum::<f64>()
    }

    /// Shortens the reservation of the request's last call to end at `until` at the latest.
    fn release(&mut self, id: RequestId, until: f64) {
        if let Some(call) = self.reservations.iter_mut().rev().find(|call| call.id == id) {
            call.until = call.until.min(until);
        }
    }
}

/// Returns whether a call with this outcome had no effect.
fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::Unreachable)
}
