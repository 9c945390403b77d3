//! Keys and values of the platform's configuration, as constants named by the code's terms. No other file
//! contains them as literals.

/// Environment variable that names the configuration file.
pub(super) const CONFIG_FILE_VARIABLE: &str = "RELAY_CONFIG";

/// Name of the server.
pub(super) const NAME: &str = "name";
/// Address on which clients connect.
pub(super) const LISTEN: &str = "listen";
/// Address of the control endpoint.
pub(super) const CONTROL: &str = "control";
/// Address of the worker pool.
pub(super) const WORKER_POOL: &str = "pool";
/// Address of the registry.
pub(super) const REGISTRY: &str = "directory";
/// Address of the upstream service.
pub(super) const UPSTREAM: &str = "index";
/// Seed of all random numbers, hexadecimal.
pub(super) const SEED: &str = "seed";
/// Time from the shutdown request to the kill, ms.
pub(super) const STOP_MS: &str = "stop_ms";
/// Object with the process's resource limits.
pub(super) const LIMITS: &str = "limits";
/// Resource limit: file descriptors.
pub(super) const SOCKETS: &str = "sockets";
/// Resource limit: memory, MB.
pub(super) const MEMORY_MB: &str = "memory_mb";
/// Object with the admission controller's settings.
pub(super) const SETTINGS: &str = "settings";

/// List of classes.
pub(super) const CLASSES: &str = "profiles";
/// List of tenants.
pub(super) const TENANTS: &str = "accounts";
/// Suffix of the key that holds a list's number of items, in settings given as pairs.
pub(super) const COUNT_SUFFIX: &str = ".count";
/// Name of a class or tenant.
pub(super) const ITEM_NAME: &str = "name";
/// Quota of a tenant, requests per second.
pub(super) const TENANT_QUOTA: &str = "allowance_per_s";

/// Retry safety of a class.
pub(super) const CLASS_RETRY_SAFETY: &str = "effect";
/// Retry safety: requests are idempotent.
pub(super) const RETRY_IDEMPOTENT: &str = "pure";
/// Retry safety: requests carry idempotency keys.
pub(super) const RETRY_WITH_KEY: &str = "token";
/// Latency objective of a class, ms.
pub(super) const CLASS_LATENCY_OBJECTIVE_MS: &str = "target_ms";
/// Growth of a class's latency objective with the cost of a request.
pub(super) const CLASS_OBJECTIVE_PER_COST: &str = "aim_stretch";
/// Client timeout of a class, ms.
pub(super) const CLASS_CLIENT_TIMEOUT_MS: &str = "give_up_ms";
/// Key window of a class: time for which an idempotency key is remembered, ms.
pub(super) const CLASS_KEY_WINDOW_MS: &str = "memory_span_ms";
/// Weight of a class's request that completes in time.
pub(super) const CLASS_PRIORITY_WEIGHT: &str = "worth";
/// Weight of a class's request that completes late.
pub(super) const CLASS_LATE_WEIGHT: &str = "late_worth";
/// Whether each class makes upstream calls, joined by commas.
pub(super) const CLASS_UPSTREAM_CALLS: &str = "specifics.class_calls";
/// Weights of each class's request that completes without its upstream call, joined by commas.
pub(super) const CLASS_DEGRADED_WEIGHTS: &str = "specifics.class_skip_worth";

/// Number of servers in the deployment.
pub(super) const SERVER_COUNT: &str = "servers";
/// Number of cores of the worker pool.
pub(super) const CORES: &str = "specifics.n_cores";
/// Interval of the controller's tick, ms.
pub(super) const TICK_MS: &str = "tick_ms";
/// Whether the worker pool starts cold.
pub(super) const COLD_START: &str = "specifics.cold";
/// Speed of a cold worker pool, as a share of its full speed.
pub(super) const COLD_START_SPEED: &str = "safety.cold_share";
/// Time for which a worker pool stays cold, ms.
pub(super) const WARM_UP_MS: &str = "safety.cold_ms";
/// Time that a response takes to reach its client, ms.
pub(super) const RESPONSE_SLACK_MS: &str = "safety.answer_slack_ms";
/// Time after the shutdown request in which requests are still admitted, ms.
pub(super) const DRAIN_GRACE_MS: &str = "safety.drain_grace_ms";
/// Number of runs per core that a worker pool survives.
pub(super) const SURVIVABLE_RUNS_PER_CORE: &str = "safety.fall_multiple";
/// Time for which a worker pool survives more than that number of runs per core, ms.
pub(super) const OVERLOAD_WINDOW_MS: &str = "safety.tip_after_ms";
/// Memory of the worker pool, kB.
pub(super) const MEMORY_KB: &str = "specifics.memory_kb";
/// Memory of a run, as a multiple of its request's size.
pub(super) const RUN_MEMORY_FACTOR: &str = "specifics.run_factor";
/// Memory of an idempotency key, kB.
pub(super) const KEY_MEMORY_KB: &str = "specifics.key_kb";
/// Kind of signal advertised to clients.
pub(super) const SIGNAL: &str = "specifics.say";
/// Signal: the share of its requests that a client should send to this server.
pub(super) const SIGNAL_SHARE: &str = "share_of";
/// Preemption of runs.
pub(super) const PREEMPTION: &str = "specifics.preemption";
/// Preemption: runs are aborted.
pub(super) const PREEMPTION_ABORT: &str = "abort";
/// Preemption: runs are suspended.
pub(super) const PREEMPTION_SUSPEND: &str = "suspend";
/// Mode of the upstream service.
pub(super) const UPSTREAM_MODE: &str = "specifics.below";
/// Upstream mode: the service is shared with other servers.
pub(super) const UPSTREAM_SHARED: &str = "shared";
/// Number of upstream calls that a server may have open if the service is shared.
pub(super) const UPSTREAM_CALL_SHARE: &str = "specifics.calls_out";
/// Window in which upstream calls are counted, ms.
pub(super) const UPSTREAM_WINDOW_MS: &str = "specifics.dep_window_ms";
/// Time for which the upstream service keeps working on an abandoned call, ms.
pub(super) const CALL_LINGER_MS: &str = "specifics.linger_ms";
/// Time for which a shared result is fresh, ms.
pub(super) const SHARED_RESULT_TTL_MS: &str = "specifics.fresh_for_ms";
/// Whether rejections carry a Retry-After.
pub(super) const RETRY_AFTER: &str = "policy_limits.retry_after";
/// Maximum Retry-After, ms.
pub(super) const MAX_RETRY_AFTER_MS: &str = "policy_limits.max_retry_after_ms";
/// Whether requests carry their client's timeout.
pub(super) const PASSES_DEADLINE: &str = "specifics.passes_deadline";
/// Number of clients in the deployment.
pub(super) const CLIENT_COUNT: &str = "specifics.callers";
/// Time after which clients close idle connections, ms.
pub(super) const CLIENT_IDLE_TIMEOUT_MS: &str = "specifics.keepalive_max_ms";
/// Weight of a request that exceeds its tenant's quota.
pub(super) const OVER_QUOTA_WEIGHT: &str = "over_share_worth";
/// Names of the gauges, joined by commas, in the order in which their values are sent.
pub(super) const GAUGE_NAMES: &str = "specifics.gauges";
/// Value of a mode that is disabled.
pub(super) const MODE_OFF: &str = "off";

/// Gauge: busy cores.
pub(super) const GAUGE_BUSY: &str = "core_use";
/// Gauge: runs that use a core or wait for one.
pub(super) const GAUGE_RUN_QUEUE: &str = "on_cores";
/// Gauge: used memory.
pub(super) const GAUGE_MEMORY: &str = "heap_share";
/// Gauge: open connections.
pub(super) const GAUGE_CONNECTIONS: &str = "links";
