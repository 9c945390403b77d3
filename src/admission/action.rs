//! The actions that the admission controller returns.

use super::event::RequestId;

/// An action that the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a suspended one.
    Run(RequestId),
    /// Send the final response: a rejection, which states that this attempt never ran.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Retry-After, ms; 0 for none.
        retry_after_ms: f64,
        /// Whether to ask the client not to retry at another instance.
        do_not_retry: bool,
    },
    /// Send the final response: an error, which does not state whether the request ran.
    Fail(RequestId),
    /// Respond with the result of the request that this one duplicates.
    ReuseResult(RequestId),
    /// Abort or suspend a run.
    Preempt(RequestId),
    /// Reserve the idempotency key of a request, or the subject of a shareable read.
    ReserveKey {
        /// The request whose key or subject is reserved.
        id: RequestId,
        /// How long the reservation lasts, ms.
        ttl_ms: f64,
    },
    /// Release the reservation of a request.
    ReleaseKey(RequestId),
    /// Make the upstream call for which a request waits.
    CallUpstream {
        /// The request that needs the call.
        id: RequestId,
        /// Time after which the call is abandoned, ms.
        timeout_ms: f64,
    },
    /// Let a request continue without its upstream call.
    SkipUpstreamCall(RequestId),
    /// Advertise this share, 0 to 1, on every response from now on.
    AdvertiseShare(f64),
    /// Set the health, true for healthy, that health checks report from now on.
    SetHealth(bool),
    /// Close connections that are idle for this long, ms.
    SetIdleTimeout(f64),
    /// Set a timer.
    SetTimer {
        /// Token that the timer's event returns.
        token: u64,
        /// Time until the timer fires, ms.
        delay_ms: f64,
    },
    /// Write a log line for the operators.
    Log(String),
}
