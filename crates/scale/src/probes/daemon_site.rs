//! The environment of the measured daemon: stand-ins for its worker pool and registry, and its configuration
//! file with a given number of tenants and classes.

use anyhow::{Context, Result};
use dunlinspread_fakes::{FakeRegistry, FakeWorkerPool, PlatformSettings, RequestClass, WorkerPoolFaults};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use tempfile::TempDir;

/// Class of all requests: the last one in the list, after all others.
pub const ROUTE: &str = "measured-route";
/// Work of a run, ms of one core: almost none, so that the work does not contribute to the measurement.
const WORK_MS: f64 = 0.05;
/// Latency objective of a class, ms.
const OBJECTIVE_MS: f64 = 1000.0;
/// Client timeout, ms.
const CLIENT_TIMEOUT_MS: f64 = 4000.0;
/// Tick of the daemon's timer wheel, ms, as configured by the platform.
pub const TICK_MS: f64 = 5.0;
/// Number of cores of the stand-in worker pool's machine.
pub const CORES: usize = 8;
/// Idle time after which a connection is closed, ms: so long that none is closed during a measurement.
const IDLE_MAX_MS: f64 = 3e9;
/// File descriptors per caller connection, from the share that the daemon assigns to callers.
const DESCRIPTORS_PER_CONNECTION: f64 = 16.0 / 9.0;
/// Memory per caller connection, kB, from the share that the daemon assigns to callers.
const KB_PER_CONNECTION: f64 = 4.0 * 32.0;
/// Factor by which the limits exceed the opened connections, so that none is closed to make room: the daemon
/// keeps an eighth free.
const HEADROOM: f64 = 1.25;
/// Lower bounds of the limits in a configuration.
const MIN_SOCKETS: f64 = 1024.0;
const MIN_MEMORY_MB: f64 = 256.0;

/// Size of the daemon's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of tenants with an allowance.
    pub tenants: usize,
    /// Number of classes (routes).
    pub classes: usize,
    /// Number of caller connections that the limits allow.
    pub connections: usize,
}

/// The stand-ins and the configuration file of a daemon.
pub struct DaemonEnvironment {
    _pool: FakeWorkerPool,
    _registry: FakeRegistry,
    _folder: TempDir,
    /// Path of the configuration file.
    pub config: PathBuf,
}

impl DaemonEnvironment {
    /// Starts the stand-ins and writes the configuration file.
    ///
    /// # Errors
    /// Returns an error if no port can be bound, no thread can be started, or the file cannot be written.
    pub fn start(size: Size, seed: u64) -> Result<DaemonEnvironment> {
        let pool = start_pool(seed)?;
        let registry = FakeRegistry::start().context("starting the stand-in registry")?;
        let folder = tempfile::tempdir().context("creating a temporary folder")?;
        let config = folder.path().join("daemon.json");
        let text = configuration(size, seed, pool.address(), registry.address());
        std::fs::write(&config, text).with_context(|| format!("writing {}", config.display()))?;
        Ok(DaemonEnvironment { _pool: pool, _registry: registry, _folder: folder, config })
    }
}

/// Starts a stand-in worker pool that serves [`ROUTE`].
///
/// # Errors
/// Returns an error if no port can be bound or no thread can be started.
pub fn start_pool(seed: u64) -> Result<FakeWorkerPool> {
    let plan = RequestClass {
        name: ROUTE,
        share: 1.0,
        work_ms: WORK_MS,
        latency_objective_ms: OBJECTIVE_MS,
        client_timeout_ms: CLIENT_TIMEOUT_MS,
        priority_weight: 1.0,
        makes_upstream_calls: false,
        degraded_weight: 0.0,
        idempotency_window_ms: None,
    };
    let site = PlatformSettings { classes: vec![plan], ..PlatformSettings::rounds(CORES) };
    FakeWorkerPool::start(&site, seed, WorkerPoolFaults::default())
        .context("starting the stand-in worker pool")
}

/// Returns the name of a tenant.
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// Returns the platform's configuration for a round server with tables of the given size.
fn configuration(size: Size, seed: u64, pool: SocketAddr, registry: SocketAddr) -> String {
    let connections = size.connections as f64 * HEADROOM;
    let sockets = (connections * DESCRIPTORS_PER_CONNECTION).max(MIN_SOCKETS).ceil();
    let memory_mb = (connections * KB_PER_CONNECTION / 1024.0).max(MIN_MEMORY_MB).ceil();
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
        "name": name, "effect": "pure", "target_ms": OBJECTIVE_MS, "give_up_ms": CLIENT_TIMEOUT_MS,
        "worth": 1.0, "late_worth": 0.1,
    })
}
