//! The actions that an instance asks for.

use super::event::RequestId;

/// An action that the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a suspended one.
    Run(RequestId),
    /// Final response: rejected; this attempt never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After, ms; 0 for none.
        retry_after_ms: f64,
        /// Whether to ask the client not to retry at another instance.
        do_not_retry: bool,
    },
    /// Final response: an error, which does not say whether the request ran.
    Fail(RequestId),
    /// Respond with the result of the request that this one duplicates.
    ReuseResult(RequestId),
    /// Abort or suspend a run.
    Preempt(RequestId),
    /// Reserve the idempotency key of a request, or its subject.
    ReserveKey {
        /// The request.
        id: RequestId,
        /// How long the reservation lasts, ms.
        ttl_ms: f64,
    },
    /// Release the reservation of a request.
    ReleaseKey(RequestId),
    /// Make the upstream call that a request waits for.
    CallUpstream {
        /// The request.
        id: RequestId,
        /// Time after which the call is abandoned, ms.
        timeout_ms: f64,
    },
    /// Let a request go on without its upstream call.
    SkipUpstreamCall(RequestId),
    /// Advertise this share, 0 to 1, on every response from now on.
    AdvertiseShare(f64),
    /// Answer health checks with this from now on.
    SetHealth(bool),
    /// Close connections that are idle for this long, ms.
    SetIdleTimeout(f64),
    /// Set a timer.
    SetTimer {
        /// Token that comes back with the timer's event.
        token: u64,
        /// Time until the timer fires, ms.
        delay_ms: f64,
    },
    /// Write a log line for the operators.
    Log(String),
}
