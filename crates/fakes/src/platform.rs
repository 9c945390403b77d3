//! What a site is like: its classes, and the platform's configuration that a round server there is given.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Its part of all requests.
    pub share: f64,
    /// The mean work of a run, ms of one core.
    pub work_ms: f64,
    /// The wanted time, ms.
    pub aim_ms: f64,
    /// When a caller gives up, ms.
    pub give_up_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Runs ask for a call.
    pub calls: bool,
    /// The worth of an answer without the call, as a part.
    pub skip_worth: f64,
    /// In keyed classes, for how long a key must not run again, ms.
    pub window_ms: Option<f64>,
}

/// A site.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Its classes.
    pub classes: Vec<RequestClass>,
    /// Cores of a machine.
    pub cores: usize,
    /// The limits of a round server's process.
    pub memory_mb: u64,
    /// Its descriptors.
    pub sockets: u64,
    /// From the notice to leave to the kill, ms.
    pub stop_ms: u64,
}

impl PlatformSettings {
    /// The four classes of the rounds, at a tenth of their work and times, so that seconds show what takes a minute.
    pub fn rounds(cores: usize) -> PlatformSettings {
        let class = |name, share, work_ms, aim_ms, give_up_ms, worth| RequestClass {
            name,
            share,
            work_ms,
            aim_ms,
            give_up_ms,
            worth,
            calls: false,
            skip_worth: 0.0,
            window_ms: None,
        };
        PlatformSettings {
            classes: vec![
                RequestClass {
                    calls: true,
                    skip_worth: 0.5,
                    ..class("route-sheet", 0.36, 38.0, 290.0, 870.0, 1.0)
                },
                class("rate-check", 0.27, 16.0, 72.0, 220.0, 2.0),
                RequestClass {
                    calls: true,
                    skip_worth: 0.5,
                    ..class("farmer-ledger", 0.25, 38.0, 290.0, 870.0, 2.0)
                },
                RequestClass {
                    calls: true,
                    window_ms: Some(2170.0),
                    ..class("pour-entry", 0.12, 16.0, 220.0, 720.0, 5.0)
                },
            ],
            cores,
            memory_mb: 192,
            sockets: 1024,
            stop_ms: 1000,
        }
    }

    /// The work that a mean request takes, ms of one core.
    pub fn mean_work_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.share * c.work_ms).sum()
    }

    /// What the cores can do, requests a second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1000.0 / self.mean_work_ms()
    }

    /// The platform's configuration for a round server.
    pub fn config(
        &self,
        name: &str,
        listen: &str,
        pool: SocketAddr,
        directory: SocketAddr,
        index: Option<SocketAddr>,
    ) -> String {
        let profile = |c: &RequestClass| -> Value {
            let mut profile = json!({
                "name": c.name, "effect": if c.window_ms.is_some() { "token" } else { "pure" },
                "target_ms": c.aim_ms, "give_up_ms": c.give_up_ms, "worth": c.worth, "late_worth": 0.1 * c.worth,
            });
            if let Some(window) = c.window_ms {
                profile["memory_span_ms"] = json!(window);
            }
            profile
        };
        let below = index.is_some();
        let mut config = json!({
            "name": name, "listen": listen, "pool": pool.to_string(), "directory": directory.to_string(),
            "seed": "8c1f30d27a5be964", "stop_ms": self.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": {
                "tick_ms": 5.0, "servers": 4,
                "profiles": self.classes.iter().map(profile).collect::<Vec<_>>(),
                "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000},
                "safety": {"fall_multiple": 8, "drain_grace_ms": 250, "answer_slack_ms": 80},
                "specifics": {
                    "n_cores": self.cores, "memory_kb": 600_000, "run_factor": 8, "key_kb": 10,
                    "say": "share_of", "preemption": "suspend", "below": if below { "tier" } else { "off" },
                    "class_calls": self.classes.iter().map(|c| below && c.calls).collect::<Vec<_>>(),
                    "class_skip_worth": self.classes.iter().map(|c| c.skip_worth).collect::<Vec<_>>(),
                    "keepalive_max_ms": 30_000, "callers": 4,
                    "gauges": ["core_use", "on_cores", "heap_share", "links"],
                },
            },
        });
        if let Some(index) = index {
            config["index"] = json!(index.to_string());
        }
        config.to_string()
    }
}
