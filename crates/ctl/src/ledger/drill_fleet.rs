//! The servers of a crash drill and the fakes around them.

use crate::server_process::ServerProcess;
use anyhow::{Context as _, Result};
use dunlinspread_fakes::{
    FakeCollector, FakeRegistry, FakeUpstream, FakeWorkerPool, PlatformSettings, UpstreamFaults,
    WorkerPoolFaults,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The length of the ledgers' periods, ms.
const PERIOD_MS: u64 = 2000;
/// The ledgers' grace after a period, ms.
const GRACE_MS: u64 = 200;
/// Lines in one exported batch, at most.
const BATCH_LINES: u32 = 50;
/// Cores of each fake machine.
const CORES: usize = 8;
/// The mean time of an upstream call, ms.
const UPSTREAM_CALL_MS: f64 = 4.0;
/// How long a server may take for a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// What a fleet is started with.
pub struct FleetOptions<'a> {
    /// The folder of ledgers, exports and configuration files.
    pub folder: &'a Path,
    /// Servers.
    pub instances: usize,
    /// Where chance comes from.
    pub seed: u64,
    /// The part of exchanges with the collector that go wrong.
    pub export_faults: f64,
    /// The daemon to run; this program's own without one.
    pub daemon: Option<&'a Path>,
}

/// One server and its machine.
pub struct Instance {
    /// The server.
    pub server: ServerProcess,
    /// The worker pool of its machine.
    pub pool: FakeWorkerPool,
    /// The folder of its ledger.
    pub ledger: PathBuf,
}

/// The fakes that all servers share.
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
    /// The servers.
    pub instances: Vec<Instance>,
    /// The collector of exports.
    pub collector: FakeCollector,
    /// The folder of what the collector has taken.
    pub exports: PathBuf,
    shared: SharedFakes,
}

impl DrillFleet {
    /// Starts the fakes, then the servers one after the other.
    ///
    /// # Errors
    /// If a fake or a server cannot be started.
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

    /// Returns the requests a second that all machines can complete.
    pub fn capacity(&self) -> f64 {
        self.shared.platform.capacity() * self.instances.len() as f64
    }

    /// Returns the addresses of all servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().filter_map(|instance| instance.server.address()).collect()
    }

    /// Starts a killed server again, at the same address.
    ///
    /// # Errors
    /// If it does not serve in time.
    pub fn restart(&mut self, number: usize) -> Result<()> {
        let instance = &mut self.instances[number];
        let name = instance.server.name.clone();
        instance.server.start(|listen| self.shared.config(&name, listen, &instance.pool))
    }

    /// Shuts all servers down; returns whether each ended by itself and successfully.
    ///
    /// # Errors
    /// If a server cannot be told or waited for.
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
