//! The platform that the fakes play: its request classes, its machines, and the configuration that it gives a server.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// The weight of a late answer, as a part of the class's weight.
const LATE_WEIGHT: f64 = 0.1;
/// The memory of a machine's runs, kB.
const MACHINE_MEMORY_KB: u64 = 600_000;
/// The longest time for which an idle connection is kept, ms.
const MAX_KEEPALIVE_MS: u64 = 30_000;
/// The longest wait that a server may tell its clients, ms.
const MAX_RETRY_AFTER_MS: u64 = 1000;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Its part of all requests.
    pub share: f64,
    /// The mean work of a run, ms of one core.
    pub work_ms: f64,
    /// The latency objective, ms.
    pub latency_objective_ms: f64,
    /// When a client gives up, ms.
    pub client_timeout_ms: f64,
    /// The weight of an answer in time.
    pub priority_weight: f64,
    /// Whether runs make an upstream call.
    pub makes_upstream_calls: bool,
    /// The weight of an answer without the upstream call, as a part of the class's weight.
    pub degraded_weight: f64,
    /// How long an idempotency key must not run again, ms; `None` for classes without keys.
    pub idempotency_window_ms: Option<f64>,
}

/// The settings of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Cores of a machine.
    pub cores: usize,
    /// The memory limit of a server's process, MB.
    pub memory_mb: u64,
    /// The descriptor limit of a server's process.
    pub descriptors: u64,
    /// Time from the shutdown request to the kill, ms.
    pub shutdown_ms: u64,
}

impl PlatformSettings {
    /// Returns the four classes of the rounds, at a tenth of their work and times, so that seconds show what takes a
    /// minute.
    pub fn rounds(cores: usize) -> PlatformSettings {
        PlatformSettings {
            classes: vec![route_sheet(), rate_check(), farmer_ledger(), pour_entry()],
            cores,
            memory_mb: 192,
            descriptors: 1024,
            shutdown_ms: 1000,
        }
    }

    /// Returns the work that a mean request takes, ms of one core.
    pub fn mean_work_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.share * class.work_ms).sum()
    }

    /// Returns the requests a second that the cores can complete.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1000.0 / self.mean_work_ms()
    }

    /// Returns the platform's configuration for a server, as JSON text.
    pub fn config(
        &self,
        name: &str,
        listen: &str,
        worker_pool: SocketAddr,
        registry: SocketAddr,
        upstream: Option<SocketAddr>,
    ) -> String {
        let mut config = json!({
            "name": name, "listen": listen, "pool": worker_pool.to_string(), "directory": registry.to_string(),
            "seed": "8c1f30d27a5be964", "stop_ms": self.shutdown_ms,
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
    /// Returns the class as the platform's configuration states it.
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
