//! The platform that the fakes simulate: its request classes, its machines, and the configuration for its
//! servers.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Weight of a late answer, as a fraction of the class's weight.
const LATE_WEIGHT: f64 = 0.1;
/// Memory of a machine that is available for runs, kB.
const MACHINE_MEMORY_KB: u64 = 600_000;
/// Maximum time for which an idle connection is kept open, ms.
const MAX_KEEPALIVE_MS: u64 = 30_000;
/// Maximum retry delay that a server may request from its clients, ms.
const MAX_RETRY_AFTER_MS: u64 = 1000;

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the class.
    pub name: &'static str,
    /// Fraction of all requests that belong to the class.
    pub share: f64,
    /// Mean work of a run, ms on one core.
    pub work_ms: f64,
    /// Latency objective, ms.
    pub latency_objective_ms: f64,
    /// Client timeout, ms.
    pub client_timeout_ms: f64,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Whether runs make an upstream call.
    pub makes_upstream_calls: bool,
    /// Weight of an answer without the upstream call, as a fraction of the class's weight.
    pub degraded_weight: f64,
    /// Time during which an idempotency key must not be run again, ms; `None` for classes without keys.
    pub idempotency_window_ms: Option<f64>,
}

/// Settings of the simulated platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Number of cores of a machine.
    pub cores: usize,
    /// Memory limit of a server process, MB.
    pub memory_mb: u64,
    /// File descriptor limit of a server process.
    pub descriptors: u64,
    /// Time from the shutdown request until the process is killed, ms.
    pub shutdown_ms: u64,
}

impl PlatformSettings {
    /// Returns a platform with the four request classes of the real one. Their work and times are a tenth of
    /// the real values, so that a run of a few seconds shows what takes a minute on the real platform.
    pub fn rounds(cores: usize) -> PlatformSettings {
        PlatformSettings {
            classes: vec![route_sheet(), rate_check(), farmer_ledger(), pour_entry()],
            cores,
            memory_mb: 192,
            descriptors: 1024,
            shutdown_ms: 1000,
        }
    }

    /// Returns the mean work of a request over all classes, ms on one core.
    pub fn mean_work_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.share * class.work_ms).sum()
    }

    /// Returns the number of requests per second that the cores can complete.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1000.0 / self.mean_work_ms()
    }

    /// Returns the platform's configuration for a server as JSON text.
    pub fn config(
        &self,
        name: &str,
        listen: &str,
        worker_pool: SocketAddr,
        registry: SocketAddr,
        upstream: Option<SocketAddr>,
    ) -> String {
        let mut config = json!({
            "name": name, "listen": listen, "pool": worker_pool.to_string(),
            "directory": registry.to_string(), "seed": "8c1f30d27a5be964", "stop_ms": self.shutdown_ms,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "settings": {
                "tick_ms": 5.0, "servers": 4,
                "profiles": self.classes.iter().map(RequestClass::profile).collect::<Vec<_>>(),
                "policy_limits": {"retry_after": true, "max_retry_after_ms": MAX_RETRY_AFTER_MS},
                "safety": {"fall_multiple": 8, "drain_grace_ms": 250, "answer_slack_ms": 80},
                "specifics": self.specifics(upstream.is_some()),
            },
        });
        if let Some(upstream) = upstream {
            config["index"] = json!(upstream.to_string());
        }
        config.to_string()
    }

    fn specifics(&self, has_upstream: bool) -> Value {
        let class_calls: Vec<bool> =
            self.classes.iter().map(|class| has_upstream && class.makes_upstream_calls).collect();
        let class_skip_worth: Vec<f64> = self.classes.iter().map(|class| class.degraded_weight).collect();
        json!({
            "n_cores": self.cores, "memory_kb": MACHINE_MEMORY_KB, "run_factor": 8, "key_kb": 10,
            "say": "share_of", "preemption": "suspend", "below": if has_upstream { "tier" } else { "off" },
            "class_calls": class_calls, "class_skip_worth": class_skip_worth,
            "keepalive_max_ms": MAX_KEEPALIVE_MS, "callers": 4,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
        })
    }
}

impl RequestClass {
    /// Returns the class's entry in the platform's configuration.
    fn profile(&self) -> Value {
        let mut profile = json!({
            "name": self.name, "effect": if self.idempotency_window_ms.is_some() { "token" } else { "pure" },
            "target_ms": self.latency_objective_ms, "give_up_ms": self.client_timeout_ms,
            "worth": self.priority_weight, "late_worth": LATE_WEIGHT * self.priority_weight,
        });
        if let Some(window_ms) = self.idempotency_window_ms {
            profile["memory_span_ms"] = json!(window_ms);
        }
        profile
    }
}

fn route_sheet() -> RequestClass {
    RequestClass {
        name: "route-sheet",
        share: 0.36,
        work_ms: 38.0,
        latency_objective_ms: 290.0,
        client_timeout_ms: 870.0,
        priority_weight: 1.0,
        makes_upstream_calls: true,
        degraded_weight: 0.5,
        idempotency_window_ms: None,
    }
}

fn rate_check() -> RequestClass {
    RequestClass {
        name: "rate-check",
        share: 0.27,
        work_ms: 16.0,
        latency_objective_ms: 72.0,
        client_timeout_ms: 220.0,
        priority_weight: 2.0,
        makes_upstream_calls: false,
        degraded_weight: 0.0,
        idempotency_window_ms: None,
    }
}

fn farmer_ledger() -> RequestClass {
    RequestClass {
        name: "farmer-ledger",
        share: 0.25,
        work_ms: 38.0,
        latency_objective_ms: 290.0,
        client_timeout_ms: 870.0,
        priority_weight: 2.0,
        makes_upstream_calls: true,
        degraded_weight: 0.5,
        idempotency_window_ms: None,
    }
}

fn pour_entry() -> RequestClass {
    RequestClass {
        name: "pour-entry",
        share: 0.12,
        work_ms: 16.0,
        latency_objective_ms: 220.0,
        client_timeout_ms: 720.0,
        priority_weight: 5.0,
        makes_upstream_calls: true,
        degraded_weight: 0.0,
        idempotency_window_ms: Some(2170.0),
    }
}
