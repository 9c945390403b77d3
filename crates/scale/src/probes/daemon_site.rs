//! What stands around the measured daemon: the fakes of its worker pool and registry, and its configuration file
//! with as many tenants and classes as wanted.

use anyhow::{Context, Result};
use dunlinspread_fakes::{FakeRegistry, FakeWorkerPool, PlatformSettings, RequestClass, WorkerPoolFaults};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use tempfile::TempDir;

/// The class of all requests: the last one in the list, behind all the others.
pub const ROUTE: &str = "measured-route";
/// The work of a run, ms of one core: next to nothing, so that what is measured is not the work.
const WORK_MS: f64 = 0.05;
/// The wanted time of a class, ms.
const AIM_MS: f64 = 1000.0;
/// When callers give up, ms.
const GIVE_UP_MS: f64 = 4000.0;
/// The step of the daemon's timers, ms, as the platform states it.
pub const TICK_MS: f64 = 5.0;
/// Cores of the machine of the fake worker pool.
pub const CORES: usize = 8;
/// After this long idle a connection is closed, ms; with one request in a while none ever is.
const IDLE_MAX_MS: f64 = 3e9;
/// Descriptors for each connection of a caller, as the daemon divides them.
const DESCRIPTORS_PER_CONNECTION: f64 = 16.0 / 9.0;
/// kB for each connection of a caller, as the daemon divides its memory.
const KB_PER_CONNECTION: f64 = 4.0 * 32.0;
/// Room beside the connections that are opened, so that none is closed to make room: an eighth is kept free.
const ROOM: f64 = 1.25;
/// The least limits of a configuration.
const LEAST_SOCKETS: f64 = 1024.0;
const LEAST_MEMORY_MB: f64 = 256.0;

/// How large the configuration is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Tenants with an allowance.
    pub tenants: usize,
    /// Classes (routes).
    pub classes: usize,
    /// Connections of callers that the limits have room for.
    pub connections: usize,
}

/// The fakes and the configuration file.
pub struct Surroundings {
    _pool: FakeWorkerPool,
    _registry: FakeRegistry,
    _folder: TempDir,
    /// The configuration file.
    pub config: PathBuf,
}

impl Surroundings {
    /// Starts the fakes and writes the file.
    ///
    /// # Errors
    /// If there is no port, thread or room on the disk.
    pub fn start(size: Size, seed: u64) -> Result<Surroundings> {
        let pool = start_pool(seed)?;
        let registry = FakeRegistry::start().context("starting the stand-in registry")?;
        let folder = tempfile::tempdir().context("making a folder")?;
        let config = folder.path().join("daemon.json");
        let text = configuration(size, seed, pool.address(), registry.address());
        std::fs::write(&config, text).with_context(|| format!("writing {}", config.display()))?;
        Ok(Surroundings { _pool: pool, _registry: registry, _folder: folder, config })
    }
}

/// Starts a fake worker pool that knows [`ROUTE`].
///
/// # Errors
/// If there is no port or thread.
pub fn start_pool(seed: u64) -> Result<FakeWorkerPool> {
    let plan = RequestClass {
        name: ROUTE,
        share: 1.0,
        work_ms: WORK_MS,
        latency_objective_ms: AIM_MS,
        client_timeout_ms: GIVE_UP_MS,
        priority_weight: 1.0,
        makes_upstream_calls: false,
        degraded_weight: 0.0,
        idempotency_window_ms: None,
    };
    let site = PlatformSettings { classes: vec![plan], ..PlatformSettings::rounds(CORES) };
    FakeWorkerPool::start(&site, seed, WorkerPoolFaults::default())
        .context("starting the stand-in worker pool")
}

/// The name of a tenant.
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// The platform's configuration for a round server of that size.
fn configuration(size: Size, seed: u64, pool: SocketAddr, registry: SocketAddr) -> String {
    let connections = size.connections as f64 * ROOM;
    let sockets = (connections * DESCRIPTORS_PER_CONNECTION).max(LEAST_SOCKETS).ceil();
    let memory_mb = (connections * KB_PER_CONNECTION / 1024.0).max(LEAST_MEMORY_MB).ceil();
    let others = (1..size.classes).map(|number| class(&format!("route-{number:05}")));
    let classes: Vec<Value> = others.chain([class(ROUTE)]).collect();
    let tenant = |number| json!({"name": tenant_name(number), "allowance_per_s": 5.0});
    let tenants: Vec<Value> = (0..size.tenants).map(tenant).collect();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"), "stop_ms": 1000,
        "pool": pool.to_string(), "directory": registry.to_string(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "settings": {
            "tick_ms": TICK_MS, "servers": 1, "profiles": classes, "accounts": tenants,
            "safety": {"fall_multiple": 8, "drain_grace_ms": 250, "answer_slack_ms": 80},
            "specifics": {
                "n_cores": CORES, "memory_kb": 6e8, "run_factor": 8, "key_kb": 10, "say": "share_of",
                "preemption": "off", "below": "off", "keepalive_max_ms": IDLE_MAX_MS, "callers": 1,
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
            },
        },
    });
    config.to_string()
}

fn class(name: &str) -> Value {
    json!({
        "name": name, "effect": "pure", "target_ms": AIM_MS, "give_up_ms": GIVE_UP_MS, "worth": 1.0,
        "late_worth": 0.1,
    })
}
