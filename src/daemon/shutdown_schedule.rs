//! Schedule of the steps of a shutdown. It has no clock of its own: the caller passes the time of the request
//! and the measured lag of the event loop.

use std::time::Duration;

/// Time before the kill by which the admission controller has answered all requests, ms: its last responses
/// still have to be written.
const RESPONSE_MARGIN_MS: f64 = 100.0;
/// Time before the kill at which connections start to close, ms, so that no request is read too late to be
/// answered.
const CLOSE_MARGIN_MS: f64 = 600.0;
/// Time before the kill at which connections finish, ms, once the last responses are written. Clients then
/// read an orderly end of the connection; the end of the process could reset connections that have unread
/// bytes, and lose responses.
const FINISH_MARGIN_MS: f64 = 70.0;
/// Time before the kill at which the process exits, ms. The system needs part of it to close hundreds of
/// connections.
const EXIT_MARGIN_MS: f64 = 50.0;
/// Maximum lead of the steps, ms. The lead is the measured lag of the event loop, by which all steps start
/// earlier.
const MAX_LEAD_MS: f64 = 250.0;
/// Divisor of the time from the request to the kill; the quotient is a further maximum of the lead.
const MAX_LEAD_DIVISOR: f64 = 8.0;

/// Due times of the steps of a shutdown, in ms of the caller's clock.
///
/// # Invariants
/// All steps start earlier by the same lead, which keeps their order and the time between them.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// Time at which the process is killed.
    stop_at: f64,
    /// Time by which each step starts earlier, because the event loop may handle it late, ms.
    lead_ms: f64,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that was requested at `requested_at`; `lag_ms` is the measured lag
    /// of the event loop.
    pub fn new(requested_at: f64, stop_timeout: Duration, lag_ms: f64) -> ShutdownSchedule {
        let stop_ms = stop_timeout.as_secs_f64() * 1000.0;
        let lead_ms = lag_ms.min(MAX_LEAD_MS).min(stop_ms / MAX_LEAD_DIVISOR);
        ShutdownSchedule { stop_at: requested_at + stop_ms, lead_ms }
    }

    /// Returns the time by which all steps start earlier, ms.
    pub fn lead_ms(&self) -> f64 {
        self.lead_ms
    }

    /// Returns the time at which connections start to close.
    pub fn close_at(&self) -> f64 {
        self.before_kill(CLOSE_MARGIN_MS)
    }

    /// Returns the time by which the admission controller answers all requests.
    pub fn respond_by(&self) -> f64 {
        self.before_kill(RESPONSE_MARGIN_MS)
    }

    /// Returns the time at which all connections finish.
    pub fn finish_at(&self) -> f64 {
        self.before_kill(FINISH_MARGIN_MS)
    }

    /// Returns the latest time at which the process exits. A process that reaches this step late still sends
    /// its outstanding responses.
    pub fn exit_at(&self) -> f64 {
        self.before_kill(EXIT_MARGIN_MS)
    }

    fn before_kill(&self, margin_ms: f64) -> f64 {
        self.stop_at - margin_ms - self.lead_ms
    }
}
