//! `ledger drill`: runs real servers on loopback under load, kills them at random times and interrupts their
//! exports. The clients' counts are the reference: the ledgers and the exports at the collector must match
//! them to the request.

use crate::ledger::drill_comparison::Comparison;
use crate::ledger::drill_fleet::{DrillFleet, FleetOptions, Instance};
use anyhow::{Context as _, Result};
use clap::Args;
use dunlinspread_fakes::{ClientBehavior, CollectorCounts, FakeClients, Load, Tally, unix_ms};
use dunlinspread_ledger::batch::Batch;
use indicatif::{ProgressBar, ProgressStyle};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Maximum time from the end of the load until all exports have reached the collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval at which the exports are polled.
const EXPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between updates of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Number of tenants that send, in addition to requests without a tenant.
const TENANTS: u64 = 9;
/// Fraction of the load's duration in which servers are killed. The end is left out, because a kill must
/// interrupt load.
const KILL_SPAN: Range<f64> = 0.05..0.9;
/// Probability that a kill also restarts the machine's worker pool.
const POOL_KILL_CHANCE: f64 = 0.5;
/// Range of the time for which a killed server stays down, ms.
const DOWNTIME_MS: Range<u64> = 0..200;
/// Mask that makes the seed of the kills differ from the seed of the load.
const KILL_SEED_MASK: u64 = 0x6b69_6c6c;

/// Settings of `drill`.
#[derive(Args)]
pub struct CrashDrill {
    /// Number of servers.
    #[arg(long, default_value_t = 4)]
    instances: usize,
    /// Total number of requests.
    #[arg(long, default_value_t = 20_000)]
    requests: u64,
    /// Total number of kills.
    #[arg(long, default_value_t = 20)]
    kills: u32,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Total requests per second; by default the capacity of all cores.
    #[arg(long)]
    rate: Option<f64>,
    /// Fraction of exchanges with the collector that fail.
    #[arg(long, default_value_t = 0.3)]
    export_faults: f64,
    /// Print only the last line, as JSON.
    #[arg(long)]
    json: bool,
    /// Directory in which to keep the ledgers and exports.
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Run this build of the daemon instead of the one in this program.
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
}

/// Result of a drill.
struct DrillResult {
    started_at: Instant,
    tally: Tally,
    kills: u32,
    /// Whether the collector received all periods in time.
    exported: bool,
    /// Whether all servers shut down gracefully.
    graceful: bool,
    exports: ExportCounts,
    comparison: Comparison,
}

/// Counts of the collector.
struct ExportCounts {
    accepted: u64,
    retries: u64,
    conflicts: u64,
}

impl ExportCounts {
    fn new(counts: &CollectorCounts) -> ExportCounts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ExportCounts {
            accepted: count(&counts.accepted),
            retries: count(&counts.duplicates) + count(&counts.faults),
            conflicts: count(&counts.conflicts),
        }
    }
}

impl DrillResult {
    fn passed(&self) -> bool {
        self.exported && self.graceful && self.exports.conflicts == 0 && self.comparison.agrees()
    }

    fn print_table(&self, instances: &[Instance]) {
        self.comparison.print();
        if self.passed() {
            return;
        }
        println!(
            "exported in time: {}, graceful shutdown: {}, conflicts: {}",
            self.exported, self.graceful, self.exports.conflicts
        );
        for instance in instances {
            println!("log of {}:\n{}", instance.server.name, instance.server.recent_log());
        }
    }

    fn print_json(&self, seed: u64) {
        let comparison = &self.comparison;
        println!(
            "{}",
            json!({
                "answered": comparison.answered, "billed": comparison.billed,
                "cut_in_flight": comparison.cut_in_flight, "lost": comparison.lost,
                "doubled": comparison.doubled, "exported": comparison.exported,
                "exports": self.exports.accepted, "export_retries": self.exports.retries,
                "conflicts": self.exports.conflicts, "kills": self.kills,
                "withdrawn": comparison.withdrawn, "wrong": self.tally.wrong_results,
                "second_answers": self.tally.duplicate_answers, "seed": seed,
                "seconds": self.started_at.elapsed().as_secs_f64().round(), "ok": self.passed(),
            })
        );
    }
}

impl CrashDrill {
    /// Runs the drill and prints its result; the last printed line is a JSON object.
    ///
    /// # Errors
    /// Returns an error if a fake or a server cannot be started, or a ledger cannot be read.
    pub fn run(&self) -> Result<ExitCode> {
        let temporary = tempfile::tempdir().context("creating a temporary directory")?;
        let folder = self.keep.clone().unwrap_or_else(|| temporary.path().to_owned());
        std::fs::create_dir_all(&folder).with_context(|| format!("creating {}", folder.display()))?;
        let mut fleet = DrillFleet::start(&FleetOptions {
            folder: &folder,
            instances: self.instances,
            seed: self.seed,
            export_faults: self.export_faults,
            daemon: self.daemon.as_deref(),
        })?;
        let rate = self.rate.unwrap_or(fleet.capacity());
        let clients = self.start_load(&fleet, rate)?;
        let bar = ProgressBar::new(self.requests);
        bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {msg}")?);
        let started_at = Instant::now();
        let kills = self.kill_servers(&mut fleet, rate, &clients, &bar)?;
        while clients.progress().finished < self.requests {
            bar.set_position(clients.progress().finished);
            std::thread::sleep(PROGRESS_INTERVAL);
        }
        let tally = clients.finish();
        bar.set_message("waiting for the exports".to_owned());
        let exported = wait_for_exports(&fleet);
        bar.finish_and_clear();
        let graceful = fleet.shut_down()?;
        let DrillFleet { instances, collector, exports, .. } = fleet;
        let export_counts = ExportCounts::new(collector.counts());
        // The exports can be opened for reading only after the collector has stopped.
        drop(collector);
        let comparison = Comparison::new(&instances, &exports, &tally)?;
        let result =
            DrillResult { started_at, tally, kills, exported, graceful, exports: export_counts, comparison };
        if !self.json {
            result.print_table(&instances);
        }
        result.print_json(self.seed);
        Ok(if result.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn start_load(&self, fleet: &DrillFleet, rate: f64) -> Result<FakeClients> {
        let tenants = (0..TENANTS).map(|number| Some(format!("society-{number}"))).chain([None]).collect();
        let load = Load { rate, requests: self.requests, tenants, seed: self.seed };
        let behavior = ClientBehavior { max_retries: 1, ..ClientBehavior::default() };
        Ok(FakeClients::start(fleet.platform(), fleet.addresses(), load, behavior)?)
    }

    /// Kills servers at random times under load and restarts them; returns the number of kills.
    fn kill_servers(
        &self,
        fleet: &mut DrillFleet,
        rate: f64,
        clients: &FakeClients,
        bar: &ProgressBar,
    ) -> Result<u32> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ KILL_SEED_MASK);
        let load_seconds = self.requests as f64 / rate;
        let mut kill_times: Vec<f64> =
            (0..self.kills).map(|_| rng.random_range(KILL_SPAN) * load_seconds).collect();
        kill_times.sort_by(f64::total_cmp);
        let (started_at, mut kills) = (Instant::now(), 0);
        for seconds in kill_times {
            let due = started_at + Duration::from_secs_f64(seconds);
            while Instant::now() < due {
                let remaining = due.saturating_duration_since(Instant::now());
                std::thread::sleep(remaining.min(PROGRESS_INTERVAL));
                bar.set_position(clients.progress().finished);
            }
            let index = rng.random_range(0..fleet.instances.len());
            let instance = &mut fleet.instances[index];
            instance.server.kill();
            if rng.random_bool(POOL_KILL_CHANCE) {
                instance.pool.kill();
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(DOWNTIME_MS)));
            fleet.restart(index)?;
            kills += 1;
            bar.set_message(format!("{kills} kills"));
        }
        Ok(kills)
    }
}

/// Waits until the collector has all periods up to now from every server; returns whether it received them in
/// time.
fn wait_for_exports(fleet: &DrillFleet) -> bool {
    let (now, waiting_since) = (unix_ms(), Instant::now());
    loop {
        let mut instances = fleet.instances.iter();
        if instances.all(|instance| exported_until(&fleet.exports, &instance.server.name) > now) {
            return true;
        }
        if waiting_since.elapsed() > EXPORT_TIMEOUT {
            return false;
        }
        std::thread::sleep(EXPORT_POLL_INTERVAL);
    }
}

/// Returns the end of the periods that the collector has from a server, Unix ms, read from the collector's
/// files; 0 if it has no batch or only some of the batches of the last close.
fn exported_until(exports: &Path, server: &str) -> u64 {
    let Ok(entries) = std::fs::read_dir(exports) else { return 0 };
    let suffix = format!("@{server}.batch");
    let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
    // File names contain ascending numbers, so the last file holds the most recent batch.
    let last = names.filter(|name| name.ends_with(&suffix)).max();
    let bytes = last.and_then(|name| std::fs::read(exports.join(name)).ok());
    let batch = bytes.and_then(|bytes| Batch::parse(&bytes).ok());
    batch.filter(|batch| batch.last).map_or(0, |batch| batch.close.to)
}
