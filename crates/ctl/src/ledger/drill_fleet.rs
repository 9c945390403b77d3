//! The servers of a crash drill and the fakes of their peers.

use crate::server_process::ServerProcess;
use anyhow::{Context as _, Result};
use dunlinspread_fakes::{
    FakeCollector, FakeRegistry, FakeUpstream, FakeWorkerPool, PlatformSettings, UpstreamFaults,
    WorkerPoolFaults,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Length of the ledgers' periods, ms.
const PERIOD_MS: u64 = 2000;
/// Grace time of the ledgers after the end of a period, ms.
const GRACE_MS: u64 = 200;
/// Maximum number of lines in an exported batch.
const BATCH_LINES: u32 = 50;
/// Number of cores of each fake machine.
const CORES: usize = 8;
/// Mean duration of an upstream call, ms.
const UPSTREAM_CALL_MS: f64 = 4.0;
/// Maximum time for the graceful shutdown of a server.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Options for starting a fleet.
pub struct FleetOptions<'a> {
    /// Folder of the ledgers, exports and configuration files.
    pub folder: &'a Path,
    /// Number of servers.
    pub instances: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Fraction of exchanges with the collector that fail.
    pub export_faults: f64,
    /// Daemon to run; `None` runs the daemon in this program.
    pub daemon: Option<&'a Path>,
}

/// A server and its machine.
pub struct Instance {
    /// The server process.
    pub server: ServerProcess,
    /// The worker pool of its machine.
    pub pool: FakeWorkerPool,
    /// Folder of the server's ledger.
    pub ledger: PathBuf,
}

/// The fakes shared by all servers.
struct SharedFakes {
    platform: PlatformSettings,
    upstream: FakeUpstream,
    registry: FakeRegistry,
}

impl SharedFakes {
    fn config(&self, name: &str, listen: &str, pool: &FakeWorkerPool) -> String {
        self.platform.config(
            name,
            listen,
            pool.address(),
            self.registry.address(),
            Some(self.upstream.address()),
        )
    }

    fn start_instance(
        &self,
        options: &FleetOptions<'_>,
        number: usize,
        collector: SocketAddr,
    ) -> Result<Instance> {
        let name = format!("n{number}");
        let pool =
            FakeWorkerPool::start(&self.platform, options.seed + number as u64, WorkerPoolFaults::default())?;
        let ledger = options.folder.join(&name);
        let operator = operator_file(&ledger, collector);
        let mut server = ServerProcess::new(options.folder, &name, options.daemon, Some(&operator))?;
        server.start(|listen| self.config(&name, listen, &pool))?;
        Ok(Instance { server, pool, ledger })
    }
}

/// Running servers with their fakes.
pub struct DrillFleet {
    /// The servers and their machines.
    pub instances: Vec<Instance>,
    /// The collector of exports.
    pub collector: FakeCollector,
    /// Folder of the batches that the collector has accepted.
    pub exports: PathBuf,
    shared: SharedFakes,
}

impl DrillFleet {
    /// Starts the fakes, then the servers one after another.
    ///
    /// # Errors
    /// Returns an error if a fake or a server cannot be started.
    pub fn start(options: &FleetOptions<'_>) -> Result<DrillFleet> {
        let platform = PlatformSettings::rounds(CORES);
        let upstream = FakeUpstream::start(UPSTREAM_CALL_MS, options.seed, UpstreamFaults::default())?;
        let shared = SharedFakes { platform, upstream, registry: FakeRegistry::start()? };
        let exports = options.folder.join("exports");
        let collector = FakeCollector::start(&exports, options.seed, options.export_faults)
            .context("starting the collector")?;
        let mut instances = Vec::new();
        for number in 0..options.instances.max(1) {
            instances.push(shared.start_instance(options, number, collector.address())?);
        }
        Ok(DrillFleet { instances, collector, exports, shared })
    }

    /// Returns the fake platform of all servers.
    pub fn platform(&self) -> &PlatformSettings {
        &self.shared.platform
    }

    /// Returns the number of requests per second that all machines together can complete.
    pub fn capacity(&self) -> f64 {
        self.shared.platform.capacity() * self.instances.len() as f64
    }

    /// Returns the addresses of all servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().filter_map(|instance| instance.server.address()).collect()
    }

    /// Restarts a killed server at the same address.
    ///
    /// # Errors
    /// Returns an error if the server cannot be started or does not serve in time.
    pub fn restart(&mut self, number: usize) -> Result<()> {
        let instance = &mut self.instances[number];
        let name = instance.server.name.clone();
        instance.server.start(|listen| self.shared.config(&name, listen, &instance.pool))
    }

    /// Shuts all servers down; returns whether each of them exited successfully in time.
    ///
    /// # Errors
    /// Returns an error if a server cannot be signaled or waited for.
    pub fn shut_down(&mut self) -> Result<bool> {
        let mut graceful = true;
        for instance in &mut self.instances {
            graceful &= instance.server.shut_down(SHUTDOWN_TIMEOUT)?;
        }
        Ok(graceful)
    }
}

fn operator_file(ledger: &Path, collector: SocketAddr) -> String {
    format!(
        "ledger \"drill\" {{\n  directory = {:?}\n  period = \"{PERIOD_MS}ms\"\n  grace = \"{GRACE_MS}ms\"\n  \
         batch_lines = {BATCH_LINES}\n  export {{\n    collector = \"{collector}\"\n  }}\n}}\n",
        ledger.display().to_string(),
    )
}
