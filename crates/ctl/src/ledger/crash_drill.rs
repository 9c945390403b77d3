//! `ledger drill`: real servers on loopback under load, killed at random, their exports interrupted. What the clients
//! counted is the truth; the ledgers, and what the collector has of them, have to agree with it to the request.

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

/// How long the exports may take to get through after the load, at most.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between two looks at the exports.
const EXPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two updates of the progress shown.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Tenants that send, beside requests without one.
const TENANTS: u64 = 9;
/// The part of the load in which servers are killed. Not its end: there has to be load to be cut.
const KILL_SPAN: Range<f64> = 0.05..0.9;
/// Chance that a kill takes the machine's worker pool as well.
const POOL_KILL_CHANCE: f64 = 0.5;
/// How long a killed server stays down, ms.
const DOWN_MS: Range<u64> = 0..200;
/// Sets the seed of the kills apart from that of the load.
const KILL_SEED_MASK: u64 = 0x6b69_6c6c;

/// Settings of a drill.
#[derive(Args)]
pub struct CrashDrill {
    /// Round servers.
    #[arg(long, default_value_t = 4)]
    instances: usize,
    /// Requests in all.
    #[arg(long, default_value_t = 20_000)]
    requests: u64,
    /// Kills in all.
    #[arg(long, default_value_t = 20)]
    kills: u32,
    /// Where chance comes from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests a second in all; as many as the cores can do without it.
    #[arg(long)]
    rate: Option<f64>,
    /// The part of exchanges with the collector that go wrong.
    #[arg(long, default_value_t = 0.3)]
    export_faults: f64,
    /// Print only the last line, as JSON.
    #[arg(long)]
    json: bool,
    /// Keep ledgers and exports here.
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Another build of the daemon to drill.
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
}

/// How a drill ended.
struct DrillResult {
    began_at: Instant,
    tally: Tally,
    kills: u32,
    /// The collector had all periods in time.
    exported: bool,
    /// All servers ended by themselves and successfully.
    graceful: bool,
    exports: ExportCounts,
    comparison: Comparison,
}

/// What the collector counted.
struct ExportCounts {
    taken: u64,
    retries: u64,
    conflicts: u64,
}

impl ExportCounts {
    fn new(counts: &CollectorCounts) -> ExportCounts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ExportCounts {
            taken: count(&counts.accepted),
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
            "exported in time: {}, left in good order: {}, conflicts: {}",
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
                "exports": self.exports.taken, "export_retries": self.exports.retries,
                "conflicts": self.exports.conflicts, "kills": self.kills,
                "withdrawn": comparison.withdrawn, "wrong": self.tally.wrong_results,
                "second_answers": self.tally.duplicate_answers, "seed": seed,
                "seconds": self.began_at.elapsed().as_secs_f64().round(), "ok": self.passed(),
            })
        );
    }
}

impl CrashDrill {
    /// Runs it; the last line printed is one JSON object.
    ///
    /// # Errors
    /// If a fake or a server cannot be started, or a ledger cannot be read.
    pub fn run(&self) -> Result<ExitCode> {
        let temporary = tempfile::tempdir().context("making a folder")?;
        let folder = self.keep.clone().unwrap_or_else(|| temporary.path().to_owned());
        std::fs::create_dir_all(&folder).with_context(|| format!("making {}", folder.display()))?;
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
        let began_at = Instant::now();
        let kills = self.kill_servers(&mut fleet, rate, &clients, &bar)?;
        while clients.progress().finished < self.requests {
            bar.set_position(clients.progress().finished);
            std::thread::sleep(PROGRESS_INTERVAL);
        }
        let tally = clients.finish();
        bar.set_message("waiting for the exports".to_owned());
        let exported = await_exports(&fleet);
        bar.finish_and_clear();
        let graceful = fleet.shut_down()?;
        let DrillFleet { instances, collector, exports, .. } = fleet;
        let export_counts = ExportCounts::new(collector.counts());
        // Its folder is free for another look once it has ended.
        drop(collector);
        let comparison = Comparison::new(&instances, &exports, &tally)?;
        let result =
            DrillResult { began_at, tally, kills, exported, graceful, exports: export_counts, comparison };
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

    /// Kills servers at random times under load and starts them again; returns the number of kills.
    fn kill_servers(
        &self,
        fleet: &mut DrillFleet,
        rate: f64,
        clients: &FakeClients,
        bar: &ProgressBar,
    ) -> Result<u32> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ KILL_SEED_MASK);
        let load_seconds = self.requests as f64 / rate;
        let mut times: Vec<f64> =
            (0..self.kills).map(|_| rng.random_range(KILL_SPAN) * load_seconds).collect();
        times.sort_by(f64::total_cmp);
        let (began_at, mut kills) = (Instant::now(), 0);
        for seconds in times {
            let due = began_at + Duration::from_secs_f64(seconds);
            while Instant::now() < due {
                let left = due.saturating_duration_since(Instant::now());
                std::thread::sleep(left.min(PROGRESS_INTERVAL));
                bar.set_position(clients.progress().finished);
            }
            let number = rng.random_range(0..fleet.instances.len());
            let instance = &mut fleet.instances[number];
            instance.server.kill();
            if rng.random_bool(POOL_KILL_CHANCE) {
                instance.pool.kill();
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(DOWN_MS)));
            fleet.restart(number)?;
            kills += 1;
            bar.set_message(format!("{kills} kills"));
        }
        Ok(kills)
    }
}

/// Waits until the collector has every period up to now from each server; returns whether it has them in time.
fn await_exports(fleet: &DrillFleet) -> bool {
    let (now, waiting_since) = (unix_ms(), Instant::now());
    loop {
        let mut instances = fleet.instances.iter();
        if instances.all(|instance| exported_to(&fleet.exports, &instance.server.name) > now) {
            return true;
        }
        if waiting_since.elapsed() > EXPORT_TIMEOUT {
            return false;
        }
        std::thread::sleep(EXPORT_POLL_INTERVAL);
    }
}

/// Returns the end, Unix ms, of the periods that the collector has from that server, by the files in its folder.
fn exported_to(exports: &Path, server: &str) -> u64 {
    let Ok(entries) = std::fs::read_dir(exports) else { return 0 };
    let suffix = format!("@{server}.batch");
    let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
    // The numbers in the names go up; only the last file can be the furthest.
    let last = names.filter(|name| name.ends_with(&suffix)).max();
    let bytes = last.and_then(|name| std::fs::read(exports.join(name)).ok());
    let batch = bytes.and_then(|bytes| Batch::parse(&bytes).ok());
    batch.filter(|batch| batch.last).map_or(0, |batch| batch.close.to)
}
