//! The calls to the upstream service: which are made, for how long, and what follows a failed one.
//!
//! Where the settings state how many concurrent calls the instance may have, each call reserves the longest
//! time for which it may occupy the upstream service; what it did not use is free again when it ends. Without
//! such a limit nothing is reserved against, and time alone decides. A call that does not fit is skipped
//! where its class allows it.

use super::clamp::clamp_finite;
use super::event::{Outcome, RequestId};
use super::memory::USED_CAPACITY;
use super::moving_average::{READING_WEIGHT, blend};
use super::request::Request;
use super::settings::{Class, RetrySafety, Settings};
use super::timing::TIMER_PERIOD_MS;

/// Usual call times that have to fit within a call's timeout.
const REQUIRED_CALL_TIMES: f64 = 2.0;
/// Backoff before a call's first retry, ms; it doubles with each one.
const BACKOFF_MS: f64 = 100.0;
/// Retries after which the backoff stops growing.
const MAX_BACKOFF_RETRIES: i32 = 6;
/// Part of the time to the latency objective that a skippable call without a stated limit may take.
///
/// The rest lets a call that is never answered be made again.
const SKIPPABLE_CALL_SHARE: f64 = 0.6;
/// Divisor of the capacity: a single skippable call may reserve that part of it.
const SKIPPABLE_CAPACITY_DIVISOR: f64 = 2.0;
/// Immediate retries of an idempotent call that broke off or timed out.
const IMMEDIATE_RETRIES: i32 = 2;
/// Longest time that a call is taken to have lasted, ms.
const MAX_CALL_MS: f64 = 1e9;
/// Shortest timeout of a call, ms.
const MIN_TIMEOUT_MS: f64 = 1.0;

/// The time for which a call may occupy the upstream service.
struct CallReservation {
    id: RequestId,
    from: f64,
    until: f64,
}

/// Whether a call that a request waits for is made now.
pub(super) enum CallDecision {
    /// The call is made.
    Call {
        /// Time after which it is abandoned, ms.
        timeout_ms: f64,
    },
    /// The request goes on without the call.
    Skip,
    /// The request waits on.
    Wait,
}

/// What follows a failed call.
pub(super) enum AfterFailure {
    /// The call is made again.
    Retry {
        /// Number of retries with this one.
        retries: i32,
        /// Earliest time of the retry.
        at: f64,
    },
    /// The request goes on without the call.
    Skip,
    /// The request fails.
    Fail,
}

/// The calls of the averaging window and how long a call usually takes.
pub(super) struct UpstreamCallBudget {
    has_limit: bool,
    /// Time that calls may occupy the upstream service within the window, ms; infinite without a limit.
    capacity_ms: f64,
    window_ms: f64,
    linger_ms: f64,
    reservations: Vec<CallReservation>,
    usual_call_ms: f64,
}

impl UpstreamCallBudget {
    /// Returns the budget before any call.
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

    /// Drops the calls that ended before the averaging window.
    pub(super) fn drop_expired(&mut self, now: f64) {
        self.reservations.retain(|call| call.until > now - self.window_ms);
    }

    /// Takes the end of a call.
    pub(super) fn record_end(&mut self, now: f64, id: RequestId, outcome: Outcome, took_ms: f64) {
        let never_ran = never_ran(outcome);
        let linger_ms = if never_ran || outcome == Outcome::Ok { 0.0 } else { self.linger_ms };
        self.release(id, now + linger_ms);
        if !never_ran {
            blend(&mut self.usual_call_ms, clamp_finite(took_ms, 0.0, MAX_CALL_MS));
        }
    }

    /// Takes that the request of a call ended before the call did.
    pub(super) fn record_abandoned(&mut self, now: f64, id: RequestId) {
        self.release(id, now + self.linger_ms);
    }

    /// Decides on the call that a request waits for, and reserves its time if it is made.
    pub(super) fn decide(
        &mut self,
        now: f64,
        id: RequestId,
        request: &Request,
        skippable: bool,
    ) -> CallDecision {
        let free_ms = self.capacity_ms - self.reserved_ms();
        let (time_ms, room_ms) = if skippable {
            let share = if self.has_limit { 1.0 } else { SKIPPABLE_CALL_SHARE };
            let room_ms = free_ms.min(self.capacity_ms / SKIPPABLE_CAPACITY_DIVISOR);
            ((request.objective_at - now) * share, room_ms)
        } else {
            (request.deadline - now, free_ms)
        };
        let timeout_ms = (time_ms - TIMER_PERIOD_MS).min(room_ms - self.linger_ms);
        let required_ms = self.required_ms();
        if timeout_ms >= required_ms {
            let until = now + timeout_ms + self.linger_ms;
            self.reservations.push(CallReservation { id, from: now, until });
            return CallDecision::Call { timeout_ms };
        }
        if !skippable {
            return CallDecision::Wait;
        }
        if time_ms - TIMER_PERIOD_MS < required_ms {
            // Skipped calls give no reading: the estimate falls, so that a call is tried again before long.
            self.usual_call_ms *= 1.0 - READING_WEIGHT;
        }
        CallDecision::Skip
    }

    /// Returns what follows a call that failed with `outcome` after `retries` retries.
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

    /// Returns the shortest time that a call is made for, ms.
    fn required_ms(&self) -> f64 {
        let largest_ms = self.capacity_ms / SKIPPABLE_CAPACITY_DIVISOR - self.linger_ms;
        (REQUIRED_CALL_TIMES * self.usual_call_ms).min(largest_ms).max(MIN_TIMEOUT_MS)
    }

    fn reserved_ms(&self) -> f64 {
        self.reservations.iter().map(|call| call.until - call.from).sum::<f64>()
    }

    /// The request's last call occupies the upstream service until then at the latest.
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
