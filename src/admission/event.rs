//! The events that an instance is told.
//!
//! Times are in milliseconds on the embedder's monotonic clock, memory is in kilobytes.

use super::settings::Reconfiguration;

/// The id of a request, unique for the lifetime of an instance.
pub type RequestId = u64;

/// The gauges of an instance; each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Recent utilization of the cores, 0 to 1.
    pub busy: Option<f64>,
    /// Length of the run queue: all threads that run on a core or wait for one.
    pub run_queue: Option<f64>,
    /// Share of the memory in use, 0 to 1.
    pub memory: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// A request that was read from its connection.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Whether it names its subject, so that its result may serve other reads of that subject.
    pub shareable: bool,
    /// Time at which its client gives up, where the request states it.
    pub deadline: Option<f64>,
    /// Expected work, ms, where the request states it.
    pub cost_ms: Option<f64>,
    /// Memory that it takes while it is queued, kB.
    pub request_kb: f64,
    /// Its priority, 0 to 1; the lowest is shed first.
    pub priority: f64,
    /// Whether it is marked as a retry or a hedged request.
    pub is_retry: bool,
    /// Time since it reached the machine, ms.
    pub age_ms: f64,
    /// The reserved request that it duplicates.
    ///
    /// For a class with idempotency keys, the earlier attempt with the same key. For a shareable read, one of
    /// the same class and subject that is in progress or completed within the time for which its result is
    /// shared.
    pub duplicate_of: Option<RequestId>,
}

/// How a run or an upstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed, perhaps after taking effect.
    Error,
    /// The upstream service rejected the call; it never ran.
    Rejected,
    /// The call timed out; it may have run.
    TimedOut,
    /// The upstream service was unreachable; the call never ran.
    Unreachable,
    /// The connection broke during the call; it may have run.
    ConnectionLost,
    /// The run was stopped.
    Cancelled,
    /// Nothing was started, because the request had ended already.
    NotStarted,
    /// The run is unknown to whoever should run it, or was not asked for. It may have taken effect, and says
    /// nothing of how runs fare.
    Lost,
}

/// An event that an instance is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The instance starts.
    Start,
    /// A request was read; it is queued until an action says otherwise.
    Arrival(Arrival),
    /// A running request cannot go on without an upstream call.
    UpstreamCallNeeded(RequestId),
    /// An upstream call ended.
    UpstreamCallEnded {
        /// The request that made the call.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// How long the call took, ms.
        took_ms: f64,
    },
    /// A run, or the reuse of another request's result, ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it, ms.
        took_ms: f64,
    },
    /// The client no longer waits for the request.
    ClientGone(RequestId),
    /// Shutdown was requested.
    Drain {
        /// Time at which the process stops.
        stop_at: f64,
    },
    /// Whether no queued request may start from now on; suspended runs go on.
    SuspendStarts(bool),
    /// What another process runs on the same machine, from now on.
    ExternalLoad {
        /// Its runs.
        runs: usize,
        /// The memory that they take, kB.
        memory_kb: f64,
    },
    /// Changes of settings take effect.
    Reconfigured(Box<Reconfiguration>),
    /// The gauges of the next timer are requested. They come behind all that the runs reported until now, and
    /// before what they report from now on.
    GaugesRequested,
    /// Commands that runs need to go on reached the worker pool late.
    CommandsDelayed {
        /// How long the first of them had waited, ms. No two such times overlap.
        waited_ms: f64,
    },
    /// A timer fired.
    Timer {
        /// The token given when the timer was set.
        token: u64,
        /// The gauges as of their request; without a request, at this moment.
        gauges: Gauges,
    },
}
