//! When each step of a shutdown is due, without a clock: its caller tells when the shutdown was requested and how late the
//! event loop was seen to be.

use std::time::Duration;

/// The admission controller's time ends so long before the kill, ms: its last responses still have to be written.
const RESPONSE_MARGIN_MS: f64 = 100.0;
/// Connections begin to close so long before the kill, ms, so that no request is read too late for its response.
const CLOSE_MARGIN_MS: f64 = 600.0;
/// Connections finish so long before the kill, ms, once the last responses are written: clients then read an end, where
/// the end of the process could reset connections over unread bytes and lose responses.
const FINISH_MARGIN_MS: f64 = 70.0;
/// The process ends so long before the kill, ms. The system needs some of it to close hundreds of connections.
const EXIT_MARGIN_MS: f64 = 50.0;
/// All steps come earlier by the lag that the event loop was seen to have, up to this, ms.
const MAX_LEAD_MS: f64 = 250.0;
/// The part of the time to the kill, as a divisor, by which they come earlier at most.
const MAX_LEAD_DIVISOR: f64 = 8.0;

/// The steps of a shutdown. Times are in ms of the caller's clock.
///
/// # Invariants
/// All steps come earlier by the same lead, which keeps their order and the time between them.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// When the process is killed.
    stop_at: f64,
    /// By how much each step comes earlier, because the event loop may come to it late.
    lead_ms: f64,
}

impl ShutdownSchedule {
    /// Returns the steps of a shutdown that was requested at that time, of a process whose event loop lagged by so much.
    pub fn new(requested_at: f64, stop_timeout: Duration, lag_ms: f64) -> ShutdownSchedule {
        let stop_ms = stop_timeout.as_secs_f64() * 1000.0;
        let lead_ms = lag_ms.min(MAX_LEAD_MS).min(stop_ms / MAX_LEAD_DIVISOR);
        ShutdownSchedule { stop_at: requested_at + stop_ms, lead_ms }
    }

    /// Returns by how much the steps come earlier, ms.
    pub fn lead_ms(&self) -> f64 {
        self.lead_ms
    }

    /// Returns when connections begin to close.
    pub fn close_at(&self) -> f64 {
        self.early(CLOSE_MARGIN_MS)
    }

    /// Returns by when the admission controller answers all requests.
    pub fn respond_by(&self) -> f64 {
        self.early(RESPONSE_MARGIN_MS)
    }

    /// Returns when all connections finish.
    pub fn finish_at(&self) -> f64 {
        self.early(FINISH_MARGIN_MS)
    }

    /// Returns when the process ends at the latest. One that comes to this late still answers what is due.
    pub fn exit_at(&self) -> f64 {
        self.early(EXIT_MARGIN_MS)
    }

    fn early(&self, margin_ms: f64) -> f64 {
        self.stop_at - margin_ms - self.lead_ms
    }
}
