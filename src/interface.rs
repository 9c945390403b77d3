//! The decision module's interface: plain data that goes in and comes out. No decision is taken here.
//!
//! All times are milliseconds on the embedder's monotonic clock; memory is in kilobytes.

use std::collections::BTreeMap;

/// A request's id, unique for the life of an instance.
pub type RequestId = u64;

/// Whether a class may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to repeat.
    Idempotent,
    /// Runs once an instance within its window; repeats name the earlier try.
    IdempotencyKey,
    /// Runs at most once.
    AtMostOnce,
}

/// How callers read the value that goes out on every reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It is not used; sending one is an error.
    Off,
    /// The chance that a caller does not skip this instance.
    Share,
    /// It is read in some other way, which this library does not speak.
    Other,
}

/// What can be done to running work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// Nothing.
    Off,
    /// Stop it; what was done is lost.
    Abort,
    /// Pause it; it keeps its progress and memory.
    Suspend,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// May it be repeated.
    pub retry_safety: RetrySafety,
    /// An answer within this time earns full worth.
    pub latency_objective_ms: f64,
    /// The aim grows by this multiple of the request's own work.
    pub objective_per_cost: f64,
    /// How long a client waits in all.
    pub client_timeout_ms: f64,
    /// For keyed classes: how long after its arrival a request may come again.
    pub key_window_ms: f64,
    /// What a request is worth.
    pub priority_weight: f64,
    /// The part of the worth earned between the aim and the deadline.
    pub late_weight: f64,
    /// Its requests may call the dependency.
    pub makes_upstream_calls: bool,
    /// The part of the worth kept when a dependency call was left out; 0 forbids leaving it out.
    pub degraded_weight: f64,
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the instance's random numbers.
    pub seed: u64,
    /// Instances in the list at the start.
    pub server_count: f64,
    /// Cores of this machine.
    pub cores: f64,
    /// Shortest gap between two rounds of events.
    pub tick_ms: f64,
    /// The instance was just started and is slow.
    pub cold_start: bool,
    /// Share of its speed at which a cold instance begins, at least.
    pub cold_start_speed: f64,
    /// It is warm after this, warming at least evenly.
    pub warm_up_ms: f64,
    /// How long after its due time an answer still counts.
    pub response_slack_ms: f64,
    /// What arrives later than this after the notice to leave is never run.
    pub drain_grace_ms: f64,
    /// Running requests a core on the cores that a warm instance survives.
    pub survivable_runs_per_core: f64,
    /// The span over which that crowd is averaged.
    pub overload_window_ms: f64,
    /// Memory in all.
    pub memory_kb: f64,
    /// A running request's memory over a held one's.
    pub run_memory_factor: f64,
    /// Memory of one table entry.
    pub key_memory_kb: f64,
    /// How callers read the value on replies.
    pub signal: Signal,
    /// What can be done to running work.
    pub preemption: Preemption,
    /// There is a dependency below.
    pub has_upstream: bool,
    /// This instance's share of the calls that the dependency survives; none where no share is stated.
    pub upstream_call_share: Option<f64>,
    /// The span over which calls are averaged.
    pub upstream_window_ms: f64,
    /// The longest a given-up call stays in the dependency's hands.
    pub call_linger_ms: f64,
    /// How long the answer to a read may serve others that read the same; 0 for never.
    pub shared_result_ttl_ms: f64,
    /// Advice to stay away is passed on.
    pub retry_after: bool,
    /// The longest such advice that is followed.
    pub max_retry_after_ms: f64,
    /// Requests tell how long their caller waits.
    pub passes_deadline: bool,
    /// Callers at the start.
    pub client_count: f64,
    /// Callers close connections idle for this long.
    pub client_idle_timeout_ms: f64,
    /// The worth of a request over its tenant's allowance, as a part of its class's.
    pub over_quota_weight: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants' allowances over the whole fleet, requests a second.
    pub tenant_quotas: Vec<f64>,
    /// The most requests of a class that run at once, by the class's position; the others have no limit of their own.
    pub class_limits: BTreeMap<usize, usize>,
}

impl Settings {
    /// Brings changes in force.
    pub fn reconfigure(&mut self, changes: &Reconfiguration) {
        let positions = changes.quotas.iter().map(|change| change.tenant + 1).max().unwrap_or(0);
        if positions > self.tenant_quotas.len() {
            self.tenant_quotas.resize(positions, 0.0);
        }
        for change in &changes.quotas {
            let stated = change.per_second.filter(|rate| !rate.is_nan());
            self.tenant_quotas[change.tenant] = stated.unwrap_or(0.0).clamp(0.0, MAX_QUOTA);
        }
        for change in &changes.class_limits {
            match change.max_running {
                Some(most) => drop(self.class_limits.insert(change.class, most)),
                None => drop(self.class_limits.remove(&change.class)),
            }
        }
    }
}

/// A tenant's new allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaChange {
    /// The tenant, by position; one past the list makes it longer.
    pub tenant: usize,
    /// Requests a second over the whole fleet; none when the position is no tenant's any more.
    pub per_second: Option<f64>,
}

/// A class's new limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimitChange {
    /// The class, by position.
    pub class: usize,
    /// The most of its requests that run at once; none for no limit.
    pub max_running: Option<usize>,
}

/// The largest allowance that means anything, requests a second.
const MAX_QUOTA: f64 = 1e9;

/// Changes of settings that come in force together, while requests run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconfiguration {
    /// Allowances, each tenant at most once.
    pub quotas: Vec<QuotaChange>,
    /// Limits, each class at most once.
    pub class_limits: Vec<ClassLimitChange>,
}

impl Default for Settings {
    /// A single-core instance with no classes and nothing optional.
    fn default() -> Self {
        Settings {
            seed: 0,
            server_count: 1.0,
            cores: 1.0,
            tick_ms: 1.0,
            cold_start: false,
            cold_start_speed: 1.0,
            warm_up_ms: 0.0,
            response_slack_ms: 0.0,
            drain_grace_ms: 0.0,
            survivable_runs_per_core: 2.0,
            overload_window_ms: 1000.0,
            memory_kb: f64::INFINITY,
            run_memory_factor: 1.0,
            key_memory_kb: 0.0,
            signal: Signal::Off,
            preemption: Preemption::Off,
            has_upstream: false,
            upstream_call_share: None,
            upstream_window_ms: 1000.0,
            call_linger_ms: 0.0,
            shared_result_ttl_ms: 0.0,
            retry_after: false,
            max_retry_after_ms: 0.0,
            passes_deadline: false,
            client_count: 1.0,
            client_idle_timeout_ms: 0.0,
            over_quota_weight: 1.0,
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            class_limits: BTreeMap::new(),
        }
    }
}

/// The instance's own gauges; any may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that was busy of late, 0 to 1.
    pub busy: Option<f64>,
    /// All that wants a core right now.
    pub run_queue: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// A request that was read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class, by position.
    pub class: usize,
    /// Its tenant, by position.
    pub tenant: usize,
    /// It names what it concerns, so that an answer to it may serve others.
    pub shareable: bool,
    /// When its caller gives up, where that is told.
    pub deadline: Option<f64>,
    /// The expected work, where that is told.
    pub cost_ms: Option<f64>,
    /// Memory while held.
    pub request_kb: f64,
    /// Its place, 0 to 1, lowest worth first.
    pub priority: f64,
    /// It is marked as a further try or a copy.
    pub is_retry: bool,
    /// How long ago it reached the machine.
    pub age_ms: f64,
    /// The remembered request that it repeats; for a read whose answer may be shared, a remembered one of the same
    /// class and subject that is under way or ended well no longer ago than that allows.
    pub duplicate_of: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed, perhaps after taking effect.
    Error,
    /// The call was refused unseen; it never ran.
    Rejected,
    /// The call was given up; it may have run.
    TimedOut,
    /// The dependency was out of reach; it never ran.
    Unreachable,
    /// The call was cut off; it may have run.
    ConnectionLost,
    /// The run was stopped.
    Cancelled,
    /// Nothing was started, because the request was over.
    NotStarted,
}

/// What an instance hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The instance starts.
    Start,
    /// A request was read and is held.
    Arrival(Arrival),
    /// A running request cannot go on without a dependency call.
    UpstreamCallNeeded(RequestId),
    /// A call ended.
    UpstreamCallEnded {
        /// Whose call.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took_ms: f64,
    },
    /// A run or a reuse ended.
    RunEnded {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Since the action that started it.
        took_ms: f64,
    },
    /// The caller no longer waits.
    ClientGone(RequestId),
    /// Notice to leave: the process stops at this time.
    Drain {
        /// When it stops.
        stop_at: f64,
    },
    /// Changes of settings come in force.
    Reconfigured(Box<Reconfiguration>),
    /// A timer is due.
    Timer {
        /// The timer's token.
        token: u64,
        /// The gauges at this moment.
        gauges: Gauges,
    },
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request or resume a paused one.
    Run(RequestId),
    /// Final answer: turned away, and this try never ran.
    Reject {
        /// Which request.
        id: RequestId,
        /// Advice to keep away for this long; 0 for none.
        retry_after_ms: f64,
        /// Ask the caller to try no other instance.
        do_not_retry: bool,
    },
    /// Final answer: an error, with no promise.
    Fail(RequestId),
    /// Answer from the result of the request that this one repeats.
    ReuseResult(RequestId),
    /// Stop or pause a run.
    Preempt(RequestId),
    /// Remember a request for this long.
    ReserveKey {
        /// Which request.
        id: RequestId,
        /// For how long.
        ttl_ms: f64,
    },
    /// Give a remembered request's entry back.
    ReleaseKey(RequestId),
    /// Make the call that a request waits for.
    CallUpstream {
        /// Whose call.
        id: RequestId,
        /// Give it up after this long.
        timeout_ms: f64,
    },
    /// Go on without the call.
    SkipUpstreamCall(RequestId),
    /// The value on every reply from now on.
    AdvertiseShare(f64),
    /// What health checks hear from now on, answered from this alone.
    SetHealth(bool),
    /// Close connections idle for this long.
    SetIdleTimeout(f64),
    /// Set a timer.
    SetTimer {
        /// Comes back with the event.
        token: u64,
        /// How long from now.
        delay_ms: f64,
    },
    /// A line for the operators.
    Log(String),
}
