//! The words of the simulator's protocol.

/// Names of messages that come in.
pub(super) mod message {
    /// A batch begins at a time.
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
    /// A client no longer waits.
    pub(in crate::simulator) const CLIENT_GONE: &str = "GONE";
    /// Shutdown is requested.
    pub(in crate::simulator) const DRAIN: &str = "WIND_DOWN";
    /// A timer fired.
    pub(in crate::simulator) const TIMER: &str = "RING";
}

/// Names of messages that go out.
pub(super) mod action {
    /// Run a request.
    pub(in crate::simulator) const RUN: &str = "PROCESS";
    /// Reject a request.
    pub(in crate::simulator) const REJECT: &str = "TURN_AWAY";
    /// Fail a request.
    pub(in crate::simulator) const FAIL: &str = "GIVE_UP";
    /// Reuse the result of a duplicated request.
    pub(in crate::simulator) const REUSE_RESULT: &str = "ECHO";
    /// Abort or suspend a run.
    pub(in crate::simulator) const PREEMPT: &str = "PREEMPT";
    /// Reserve a key.
    pub(in crate::simulator) const RESERVE_KEY: &str = "REMEMBER";
    /// Release a key.
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
    /// The instance.
    pub(in crate::simulator) const INSTANCE: &str = "i";
    /// Seed of an instance.
    pub(in crate::simulator) const SEED: &str = "nonce64";
    /// Id of a request.
    pub(in crate::simulator) const REQUEST: &str = "xid";
    /// Id of the request that is duplicated; `0` for none.
    pub(in crate::simulator) const DUPLICATE_OF: &str = "forerunner";
    /// Index of a class.
    pub(in crate::simulator) const CLASS: &str = "profile";
    /// Index of a tenant.
    pub(in crate::simulator) const TENANT: &str = "account";
    /// Subject of a shareable read.
    pub(in crate::simulator) const SUBJECT: &str = "affinity";
    /// Deadline of a request or time of a stop, ms; 0 for none.
    pub(in crate::simulator) const DEADLINE_MS: &str = "deadline_ms";
    /// Expected work of a request, ms.
    pub(in crate::simulator) const COST_MS: &str = "cost_ms";
    /// Memory of a queued request, kB.
    pub(in crate::simulator) const REQUEST_KB: &str = "mem_kb";
    /// Priority of a request, 0 to 1.
    pub(in crate::simulator) const PRIORITY: &str = "precedence";
    /// Whether a request is a retry.
    pub(in crate::simulator) const IS_RETRY: &str = "is_retry";
    /// Age of a request when it is read, ms.
    pub(in crate::simulator) const AGE_MS: &str = "age_ms";
    /// How a run or a call ended.
    pub(in crate::simulator) const OUTCOME: &str = "reason";
    /// How long a run or a call took, ms.
    pub(in crate::simulator) const TOOK_MS: &str = "wait_time_ms";
    /// Token of a timer.
    pub(in crate::simulator) const TOKEN: &str = "mark";
    /// Gauges, as `name:value` pairs that are separated by commas.
    pub(in crate::simulator) const GAUGES: &str = "stats";
}

/// Values of the field [`field::OUTCOME`].
pub(super) mod outcome {
    /// It succeeded.
    pub(in crate::simulator) const OK: &str = "OK";
    /// It failed.
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
