//! Keys and values of the platform's configuration, and the code's terms for them. No other file spells them.

/// Environment variable that names the configuration file.
pub(super) const CONFIG_FILE_VARIABLE: &str = "RELAY_CONFIG";

/// The name of the server.
pub(super) const NAME: &str = "name";
/// The address at which clients connect.
pub(super) const LISTEN: &str = "listen";
/// The address at which operators call.
pub(super) const CONTROL: &str = "control";
/// The address of the worker pool.
pub(super) const WORKER_POOL: &str = "pool";
/// The address of the registry.
pub(super) const REGISTRY: &str = "directory";
/// The address of the upstream service.
pub(super) const UPSTREAM: &str = "index";
/// The seed of all randomness, hexadecimal.
pub(super) const SEED: &str = "seed";
/// Time from the shutdown request to the kill, ms.
pub(super) const STOP_MS: &str = "stop_ms";
/// The object of the process's limits.
pub(super) const LIMITS: &str = "limits";
/// Within the limits: descriptors.
pub(super) const SOCKETS: &str = "sockets";
/// Within the limits: memory, MB.
pub(super) const MEMORY_MB: &str = "memory_mb";
/// The object of the admission controller's settings.
pub(super) const SETTINGS: &str = "settings";

/// The list of classes.
pub(super) const CLASSES: &str = "profiles";
/// The list of tenants.
pub(super) const TENANTS: &str = "accounts";
/// Suffix of the number of items of a list, in the form of pairs.
pub(super) const COUNT_SUFFIX: &str = ".count";
/// Of a class or tenant: its name.
pub(super) const ITEM_NAME: &str = "name";
/// Of a tenant: its quota, requests a second.
pub(super) const TENANT_QUOTA: &str = "allowance_per_s";

/// Of a class: what a retry may do.
pub(super) const CLASS_RETRY_SAFETY: &str = "effect";
/// Retry safety of an idempotent class.
pub(super) const RETRY_IDEMPOTENT: &str = "pure";
/// Retry safety of a class with idempotency keys.
pub(super) const RETRY_WITH_KEY: &str = "token";
/// Of a class: its latency objective, ms.
pub(super) const CLASS_LATENCY_OBJECTIVE_MS: &str = "target_ms";
/// Of a class: growth of the latency objective with the cost of a request.
pub(super) const CLASS_OBJECTIVE_PER_COST: &str = "aim_stretch";
/// Of a class: how long its clients wait, ms.
pub(super) const CLASS_CLIENT_TIMEOUT_MS: &str = "give_up_ms";
/// Of a class: how long an idempotency key is remembered, ms.
pub(super) const CLASS_KEY_WINDOW_MS: &str = "memory_span_ms";
/// Of a class: the weight of a request that completes in time.
pub(super) const CLASS_PRIORITY_WEIGHT: &str = "worth";
/// Of a class: the weight of a request that completes late.
pub(super) const CLASS_LATE_WEIGHT: &str = "late_worth";
/// For each class, joined by commas: whether it makes upstream calls.
pub(super) const CLASS_UPSTREAM_CALLS: &str = "specifics.class_calls";
/// For each class, joined by commas: the weight of a request that completes without its upstream call.
pub(super) const CLASS_DEGRADED_WEIGHTS: &str = "specifics.class_skip_worth";

/// Servers of the deployment.
pub(super) const SERVER_COUNT: &str = "servers";
/// Cores of the worker pool.
pub(super) const CORES: &str = "specifics.n_cores";
/// Interval of the controller's tick, ms.
pub(super) const TICK_MS: &str = "tick_ms";
/// Whether the worker pool starts cold.
pub(super) const COLD_START: &str = "specifics.cold";
/// Speed of a cold worker pool, as a share.
pub(super) const COLD_START_SPEED: &str = "safety.cold_share";
/// Time for which a worker pool is cold, ms.
pub(super) const WARM_UP_MS: &str = "safety.cold_ms";
/// Time that a response takes to its client, ms.
pub(super) const RESPONSE_SLACK_MS: &str = "safety.answer_slack_ms";
/// Time after the shutdown request in which requests are still admitted, ms.
pub(super) const DRAIN_GRACE_MS: &str = "safety.drain_grace_ms";
/// Runs on a core that a worker pool survives.
pub(super) const SURVIVABLE_RUNS_PER_CORE: &str = "safety.fall_multiple";
/// Time for which a worker pool survives more, ms.
pub(super) const OVERLOAD_WINDOW_MS: &str = "safety.tip_after_ms";
/// Memory of the worker pool, kB.
pub(super) const MEMORY_KB: &str = "specifics.memory_kb";
/// Memory of a run, in multiples of its request's.
pub(super) const RUN_MEMORY_FACTOR: &str = "specifics.run_factor";
/// Memory of an idempotency key, kB.
pub(super) const KEY_MEMORY_KB: &str = "specifics.key_kb";
/// What is advertised to clients.
pub(super) const SIGNAL: &str = "specifics.say";
/// Signal: the share of its requests that a client should send here.
pub(super) const SIGNAL_SHARE: &str = "share_of";
/// Whether runs are preempted, and how.
pub(super) const PREEMPTION: &str = "specifics.preemption";
/// Preemption: runs are aborted.
pub(super) const PREEMPTION_ABORT: &str = "abort";
/// Preemption: runs are suspended.
pub(super) const PREEMPTION_SUSPEND: &str = "suspend";
/// Whether there is an upstream service.
pub(super) const UPSTREAM_MODE: &str = "specifics.below";
/// Upstream mode: the service is shared with other servers.
pub(super) const UPSTREAM_SHARED: &str = "shared";
/// Upstream calls that a server may have open, where the service is shared.
pub(super) const UPSTREAM_CALL_SHARE: &str = "specifics.calls_out";
/// Window in which upstream calls are counted, ms.
pub(super) const UPSTREAM_WINDOW_MS: &str = "specifics.dep_window_ms";
/// Time for which the upstream service works on a call that was given up, ms.
pub(super) const CALL_LINGER_MS: &str = "specifics.linger_ms";
/// Time for which a shared result is fresh, ms.
pub(super) const SHARED_RESULT_TTL_MS: &str = "specifics.fresh_for_ms";
/// Whether rejections carry a Retry-After.
pub(super) const RETRY_AFTER: &str = "policy_limits.retry_after";
/// The longest Retry-After, ms.
pub(super) const MAX_RETRY_AFTER_MS: &str = "policy_limits.max_retry_after_ms";
/// Whether requests state how long their clients wait.
pub(super) const PASSES_DEADLINE: &str = "specifics.passes_deadline";
/// Clients of the deployment.
pub(super) const CLIENT_COUNT: &str = "specifics.callers";
/// Time after which clients close idle connections, ms.
pub(super) const CLIENT_IDLE_TIMEOUT_MS: &str = "specifics.keepalive_max_ms";
/// The weight of a request past its tenant's quota.
pub(super) const OVER_QUOTA_WEIGHT: &str = "over_share_worth";
/// The names of the gauges, joined by commas, in the order in which their values come.
pub(super) const GAUGE_NAMES: &str = "specifics.gauges";
/// Value of a mode that is off.
pub(super) const MODE_OFF: &str = "off";

/// Gauge: busy cores.
pub(super) const GAUGE_BUSY: &str = "core_use";
/// Gauge: runs on or waiting for the cores.
pub(super) const GAUGE_RUN_QUEUE: &str = "on_cores";
/// Gauge: used memory.
pub(super) const GAUGE_MEMORY: &str = "heap_share";
/// Gauge: open connections.
pub(super) const GAUGE_CONNECTIONS: &str = "links";
