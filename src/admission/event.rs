//! The events that the admission controller of an instance handles.
//!
//! Times are in milliseconds on the embedder's monotonic clock, memory is in kilobytes.

use super::settings::Reconfiguration;

/// The id of a request, unique for the lifetime of an instance.
pub type RequestId = u64;

/// The load gauges of an instance; each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Recent utilization of the cores, 0 to 1.
    pub busy: Option<f64>,
    /// Length of the run queue: number of threads that run on a core or wait for one.
    pub run_queue: Option<f64>,
    /// Share of the memory in use, 0 to 1.
    pub memory: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// A request that was read from its connection.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Id of the request.
    pub id: RequestId,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant.
    pub tenant: usize,
    /// Whether the request names its subject, so that its result may be reused for other reads of it.
    pub shareable: bool,
    /// Time at which the client gives up, if the request states it.
    pub deadline: Option<f64>,
    /// Expected work, ms, if the request states it.
    pub cost_ms: Option<f64>,
    /// Memory that the request takes while it is queued, kB.
    pub request_kb: f64,
    /// Priority of the request, 0 to 1; the lowest is shed first.
    pub priority: f64,
    /// Whether the request is marked as a retry or as hedged.
    pub is_retry: bool,
    /// Time since the request reached the machine, ms.
    pub age_ms: f64,
    /// The reserved request that this request duplicates.
    ///
    /// For a class with idempotency keys, this is the earlier attempt with the same key. For a shareable
    /// read, it is a read of the same class and subject that is in progress, or that completed within the
    /// time for which its result is shared.
    pub duplicate_of: Option<RequestId>,
}

/// How a run or an upstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Ok,
    /// The run or call failed, possibly after taking effect.
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
    /// The worker pool does not know the run, or the run was never requested from it. The run may have taken
    /// effect, and is no evidence of whether runs succeed.
    Lost,
}

/// An event that the embedder reports to the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The instance starts.
    Start,
    /// A request was read; it stays queued until an action changes that.
    Arrival(Arrival),
    /// A running request needs an upstream call before it can continue.
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
        /// The request that was run or that reused the result.
        id: RequestId,
        /// How the run or the reuse ended.
        outcome: Outcome,
        /// Time since the action that started the run or the reuse, ms.
        took_ms: f64,
    },
    /// A command for the run of a request may have been lost, and is not sent again: the run may be in
    /// progress, or may wait for the command for ever.
    RunInDoubt(RequestId),
    /// The client no longer waits for the request.
    ClientGone(RequestId),
    /// Shutdown was requested.
    Drain {
        /// Time at which the process stops.
        stop_at: f64,
    },
    /// Whether starts of queued requests are suspended from now on; suspended runs are still resumed.
    SuspendStarts(bool),
    /// The load of another process on the same machine, from now on.
    ExternalLoad {
        /// Number of runs of the other process.
        runs: usize,
        /// Memory that these runs take, kB.
        memory_kb: f64,
    },
    /// Changes of settings are applied.
    Reconfigured(Box<Reconfiguration>),
    /// The gauges of the next timer were requested. They arrive after all reports that runs made before the
    /// request, and before later reports.
    GaugesRequested,
    /// Commands that runs need in order to continue reached the worker pool late.
    CommandsDelayed {
        /// How long the first of these commands had waited, ms. The waits of two events never overlap.
        waited_ms: f64,
    },
    /// A timer fired.
    Timer {
        /// The token that was passed when the timer was set.
        token: u64,
        /// The gauges at the time of their request, or at the time of the timer without a request.
        gauges: Gauges,
    },
}
