//! The names of messages, fields and outcomes in the simulator's protocol.

/// Names of incoming messages.
pub(super) mod message {
    /// A batch begins; states its time.
    pub(in crate::simulator) const CLOCK: &str = "CLOCK";
    /// A batch ends.
    pub(in crate::simulator) const FLUSH: &str = "FLUSH";
    /// An instance starts.
    pub(in crate::simulator) const START: &str = "BOOT";
    /// An instance ended.
    pub(in crate::simulator) const STOPPED: &str = "RETIRE";
    /// A request arrived.
    pub(in crate::simulator) const ARRIVAL: &str = "ARRIVAL";
    /// A run needs an upstream call.
    pub(in crate::simulator) const UPSTREAM_CALL_NEEDED: &str = "NEEDS_DEP";
    /// An upstream call ended.
    pub(in crate::simulator) const UPSTREAM_CALL_ENDED: &str = "DEP_REPLY";
    /// A run ended.
    pub(in crate::simulator) const RUN_ENDED: &str = "DONE";
    /// A client no longer waits for its request.
    pub(in crate::simulator) const CLIENT_GONE: &str = "GONE";
    /// Shutdown was requested.
    pub(in crate::simulator) const DRAIN: &str = "WIND_DOWN";
    /// A timer fired.
    pub(in crate::simulator) const TIMER: &str = "RING";
}

/// Names of outgoing messages.
pub(super) mod action {
    /// Run a request.
    pub(in crate::simulator) const RUN: &str = "PROCESS";
    /// Reject a request.
    pub(in crate::simulator) const REJECT: &str = "TURN_AWAY";
    /// Fail a request.
    pub(in crate::simulator) const FAIL: &str = "GIVE_UP";
    /// Respond with the result of the duplicated request.
    pub(in crate::simulator) const REUSE_RESULT: &str = "ECHO";
    /// Abort or suspend a run.
    pub(in crate::simulator) const PREEMPT: &str = "PREEMPT";
    /// Reserve an idempotency key or a shareable read.
    pub(in crate::simulator) const RESERVE_KEY: &str = "REMEMBER";
    /// Release a reservation.
    pub(in crate::simulator) const RELEASE_KEY: &str = "RELEASE_KEY";
    /// Make an upstream call.
    pub(in crate::simulator) const CALL_UPSTREAM: &str = "CALL_DEP";
    /// Skip an upstream call.
    pub(in crate::simulator) const SKIP_UPSTREAM_CALL: &str = "OMIT";
    /// Advertise a share.
    pub(in crate::simulator) const ADVERTISE_SHARE: &str = "HINT_OUT";
    /// Report health.
    pub(in crate::simulator) const SET_HEALTH: &str = "REPORT_HEALTH";
    /// Set the idle timeout of connections.
    pub(in crate::simulator) const SET_IDLE_TIMEOUT: &str = "KEEPALIVE";
    /// Set a timer.
    pub(in crate::simulator) const SET_TIMER: &str = "WAKE_ME";
    /// Write a log line.
    pub(in crate::simulator) const LOG: &str = "NOTE_DOWN";
    /// The reply to a batch ends.
    pub(in crate::simulator) const END: &str = "END";
}

/// Names of fields.
pub(super) mod field {
    /// Time of a batch, ms.
    pub(in crate::simulator) const TIME_MS: &str = "time_ms";
    /// Number of an instance.
    pub(in crate::simulator) const INSTANCE: &str = "i";
    /// Seed of an instance's random numbers.
    pub(in crate::simulator) const SEED: &str = "nonce64";
    /// Id of a request.
    pub(in crate::simulator) const REQUEST: &str = "xid";
    /// Id of the duplicated request; `0` for none.
    pub(in crate::simulator) const DUPLICATE_OF: &str = "forerunner";
    /// Index of a class.
    pub(in crate::simulator) const CLASS: &str = "profile";
    /// Index of a tenant.
    pub(in crate::simulator) const TENANT: &str = "account";
    /// Subject of a shareable read.
    pub(in crate::simulator) const SUBJECT: &str = "affinity";
    /// Deadline of a request, 0 for none, or time at which a draining instance stops, ms.
    pub(in crate::simulator) const DEADLINE_MS: &str = "deadline_ms";
    /// Expected work of a request, ms.
    pub(in crate::simulator) const COST_MS: &str = "cost_ms";
    /// Memory of a queued request, kB.
    pub(in crate::simulator) const REQUEST_KB: &str = "mem_kb";
    /// Priority of a request, 0 to 1.
    pub(in crate::simulator) const PRIORITY: &str = "precedence";
    /// Whether a request is a retry.
    pub(in crate::simulator) const IS_RETRY: &str = "is_retry";
    /// Age of a request when it was read, ms.
    pub(in crate::simulator) const AGE_MS: &str = "age_ms";
    /// How a run or a call ended.
    pub(in crate::simulator) const OUTCOME: &str = "reason";
    /// How long a run or a call took, ms.
    pub(in crate::simulator) const TOOK_MS: &str = "wait_time_ms";
    /// Token of a timer.
    pub(in crate::simulator) const TOKEN: &str = "mark";
    /// Gauges, as comma-separated `name:value` pairs.
    pub(in crate::simulator) const GAUGES: &str = "stats";
}

/// Values of the field [`field::OUTCOME`].
pub(super) mod outcome {
    /// The run or call succeeded.
    pub(in crate::simulator) const OK: &str = "OK";
    /// The run or call failed.
    pub(in crate::simulator) const ERROR: &str = "INTERNAL";
    /// The upstream service rejected the call.
    pub(in crate::simulator) const REJECTED: &str = "RESOURCE_EXHAUSTED";
    /// The call timed out.
    pub(in crate::simulator) const TIMED_OUT: &str = "DEADLINE_EXCEEDED";
    /// The upstream service was unreachable.
    pub(in crate::simulator) const UNREACHABLE: &str = "UNAVAILABLE";
    /// The connection broke during the call.
    pub(in crate::simulator) const CONNECTION_LOST: &str = "ABORTED";
    /// The run was stopped.
    pub(in crate::simulator) const CANCELLED: &str = "CANCELLED";
    /// Nothing was started.
    pub(in crate::simulator) const NOT_STARTED: &str = "TOO_LATE";
}
