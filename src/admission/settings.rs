//! The settings of one instance and the changes that can be applied to them while requests run.
//!
//! Times are in milliseconds on the embedder's monotonic clock, memory is in kilobytes.

use super::clamp::clamp_finite;
use std::collections::BTreeMap;

/// Shortest idle timeout of client connections, ms.
///
/// The connection of a client that sends its next request promptly stays open at least that long.
pub(super) const MIN_IDLE_TIMEOUT_MS: f64 = 200.0;
/// Largest tenant quota, requests per second over the whole fleet; a larger one is the same as no limit.
const MAX_QUOTA_PER_S: f64 = 1e9;
/// Longest duration of a setting, ms: about a year.
const MAX_DURATION_MS: f64 = 3.2e10;

/// Whether the work of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The work is idempotent and may be retried, run twice or stopped.
    Idempotent,
    /// The work runs once within its key window; a retry names the earlier attempt.
    IdempotencyKey,
    /// The work runs at most once.
    AtMostOnce,
}

/// How clients interpret the advertised share of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Responses carry no share; advertising one is an error.
    Off,
    /// The share is the probability with which a client that considers this instance selects it.
    Share,
    /// Clients interpret the value in a way that the controller does not support; none is advertised.
    Other,
}

/// Whether and how running work can be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// Running work cannot be stopped.
    Off,
    /// Running work can be aborted; its progress is lost.
    Abort,
    /// Running work can be suspended; it keeps its progress and its memory.
    Suspend,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether the work of the class may run more than once.
    pub retry_safety: RetrySafety,
    /// Time since arrival within which a response has full weight, ms.
    pub latency_objective_ms: f64,
    /// Extension of the latency objective for each ms of a request's stated cost, ms.
    pub objective_per_cost: f64,
    /// Time since arrival after which a client gives up, ms.
    pub client_timeout_ms: f64,
    /// Time since arrival during which a client may retry with the same idempotency key, ms.
    pub key_window_ms: f64,
    /// Weight of a request that completes within its latency objective.
    pub priority_weight: f64,
    /// Part of the weight, 0 to 1, of a response between the latency objective and the deadline.
    pub late_weight: f64,
    /// Whether requests of the class may call the upstream service.
    pub makes_upstream_calls: bool,
    /// Part of the weight, 0 to 1, of a response without its upstream call; 0 if the call cannot be skipped.
    pub degraded_weight: f64,
}

/// The settings of an instance, as given when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the instance's random numbers.
    pub seed: u64,
    /// Number of instances in the fleet when this one starts.
    pub server_count: f64,
    /// Number of cores of this machine.
    pub cores: f64,
    /// Shortest time between two batches of events, ms.
    pub tick_ms: f64,
    /// Whether the instance starts cold and has to warm up.
    pub cold_start: bool,
    /// Lower bound of a cold instance's speed, as a share of its warm speed, 0 to 1.
    pub cold_start_speed: f64,
    /// Time after which the instance is warm, ms; its speed rises at least linearly until then.
    pub warm_up_ms: f64,
    /// Time after a request's deadline during which its response still counts, ms.
    pub response_slack_ms: f64,
    /// Time after the shutdown request from which arriving requests are no longer run, ms.
    pub drain_grace_ms: f64,
    /// Concurrent runs per core that a warm instance survives.
    pub survivable_runs_per_core: f64,
    /// Time over which concurrent runs are averaged for [`Self::survivable_runs_per_core`], ms.
    pub overload_window_ms: f64,
    /// Memory of the instance, kB.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of that of a queued one.
    pub run_memory_factor: f64,
    /// Memory of one reserved idempotency key, kB.
    pub key_memory_kb: f64,
    /// How clients interpret the advertised share.
    pub signal: Signal,
    /// Whether and how running work can be stopped.
    pub preemption: Preemption,
    /// Whether there is an upstream service.
    pub has_upstream: bool,
    /// Average number of concurrent upstream calls that this instance may have; `None` for no limit.
    pub upstream_call_share: Option<f64>,
    /// Time over which concurrent upstream calls are averaged, ms.
    pub upstream_window_ms: f64,
    /// Longest time that an abandoned call still occupies the upstream service, ms.
    pub call_linger_ms: f64,
    /// Time for which the result of a read may be reused for reads of the same subject, ms; 0 for never.
    pub shared_result_ttl_ms: f64,
    /// Whether a rejection may carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients honour, ms.
    pub max_retry_after_ms: f64,
    /// Whether requests state how long their client waits.
    pub passes_deadline: bool,
    /// Number of clients when the instance starts.
    pub client_count: f64,
    /// Time after which clients close an idle connection, ms.
    pub client_idle_timeout_ms: f64,
    /// Part of the weight, 0 to 1, of a request beyond its tenant's quota.
    pub over_quota_weight: f64,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The tenants' quotas over the whole fleet, by tenant index, requests per second.
    pub tenant_quotas: Vec<f64>,
    /// Largest number of concurrent runs of a class, by class index; a class without an entry has no such
    /// limit.
    pub class_limits: BTreeMap<usize, usize>,
}

impl Default for Settings {
    /// Returns the settings of a single-core instance without classes, with every optional feature off.
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

impl Settings {
    /// Applies changes of tenant quotas and class limits.
    pub fn reconfigure(&mut self, changes: &Reconfiguration) {
        let tenant_count = changes.quotas.iter().map(|change| change.tenant + 1).max().unwrap_or(0);
        if tenant_count > self.tenant_quotas.len() {
            self.tenant_quotas.resize(tenant_count, 0.0);
        }
        for change in &changes.quotas {
            let quota = change.per_second.filter(|rate| !rate.is_nan());
            self.tenant_quotas[change.tenant] = quota.unwrap_or(0.0).clamp(0.0, MAX_QUOTA_PER_S);
        }
        for change in &changes.class_limits {
            match change.max_running {
                Some(limit) => drop(self.class_limits.insert(change.class, limit)),
                None => drop(self.class_limits.remove(&change.class)),
            }
        }
    }

    /// Returns the settings with every number clamped to the range that the controller supports.
    pub(super) fn sanitized(mut self) -> Settings {
        self.server_count = clamp_finite(self.server_count, 1.0, 1e6);
        self.cores = clamp_finite(self.cores, 1.0, 1e5);
        self.tick_ms = clamp_finite(self.tick_ms, 0.0, 1e4);
        self.cold_start_speed = clamp_finite(self.cold_start_speed, 0.01, 1.0);
        self.warm_up_ms = clamp_finite(self.warm_up_ms, 0.0, MAX_DURATION_MS);
        self.survivable_runs_per_core = clamp_finite(self.survivable_runs_per_core, 1.0, 1e6);
        self.memory_kb = clamp_finite(self.memory_kb, 0.0, 1e15);
        self.run_memory_factor = clamp_finite(self.run_memory_factor, 1.0, 1e6);
        self.key_memory_kb = clamp_finite(self.key_memory_kb, 0.0, 1e12);
        self.upstream_call_share = self.upstream_call_share.map(|share| clamp_finite(share, 0.0, 1e9));
        self.upstream_window_ms = clamp_finite(self.upstream_window_ms, 1.0, MAX_DURATION_MS);
        self.call_linger_ms = clamp_finite(self.call_linger_ms, 0.0, MAX_DURATION_MS);
        self.drain_grace_ms = clamp_finite(self.drain_grace_ms, 0.0, MAX_DURATION_MS);
        self.shared_result_ttl_ms = clamp_finite(self.shared_result_ttl_ms, 0.0, MAX_DURATION_MS);
        self.max_retry_after_ms = clamp_finite(self.max_retry_after_ms, 0.0, MAX_DURATION_MS);
        self.client_count = clamp_finite(self.client_count, 1.0, 1e9);
        self.client_idle_timeout_ms =
            clamp_finite(self.client_idle_timeout_ms, MIN_IDLE_TIMEOUT_MS, MAX_DURATION_MS);
        self.over_quota_weight = clamp_finite(self.over_quota_weight, 0.0, 1.0);
        for quota in &mut self.tenant_quotas {
            *quota = clamp_finite(*quota, 0.0, MAX_QUOTA_PER_S);
        }
        self.classes.iter_mut().for_each(Class::sanitize);
        self
    }
}

impl Class {
    fn sanitize(&mut self) {
        self.client_timeout_ms = clamp_finite(self.client_timeout_ms, 0.0, MAX_DURATION_MS);
        self.latency_objective_ms = clamp_finite(self.latency_objective_ms, 0.0, MAX_DURATION_MS);
        self.objective_per_cost = clamp_finite(self.objective_per_cost, 0.0, 1e6);
        self.key_window_ms = clamp_finite(self.key_window_ms, 0.0, MAX_DURATION_MS);
        self.priority_weight = clamp_finite(self.priority_weight, 0.0, 1e9);
        self.late_weight = clamp_finite(self.late_weight, 0.0, 1.0);
        self.degraded_weight = clamp_finite(self.degraded_weight, 0.0, 1.0);
    }
}

/// A change of one tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaChange {
    /// The tenant's index; an index past the end extends the list of tenants.
    pub tenant: usize,
    /// Requests per second over the whole fleet; `None` if the index no longer belongs to a tenant.
    pub per_second: Option<f64>,
}

/// A change of one class's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimitChange {
    /// The class's index.
    pub class: usize,
    /// Largest number of concurrent runs of the class; `None` for no limit.
    pub max_running: Option<usize>,
}

/// Changes of settings that are applied together while requests run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconfiguration {
    /// Changes of quotas, each tenant at most once.
    pub quotas: Vec<QuotaChange>,
    /// Changes of class limits, each class at most once.
    pub class_limits: Vec<ClassLimitChange>,
}
