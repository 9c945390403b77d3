//! The ledger's drill: real round servers on loopback under load, killed at random, their exports interrupted. What the
//! proxies counted is the truth; the ledgers, and what the collector has of them, have to agree with it to the request.

use crate::fleet::Server;
use crate::ledger::replay::by_society;
use anyhow::{Context as _, Result};
use clap::Args;
use dunlinspread_fakes::{
    Catalog, Collector, Habits, Index, IndexFaults, Load, Outcome, Pool, PoolFaults, Proxies, Site, Tally,
    unix_ms,
};
use dunlinspread_ledger::{BatchReceiver, Outcome as Billed, UNATTRIBUTED};
use dunlinspread_store::RealDisk;
use indicatif::{ProgressBar, ProgressStyle};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The length of periods in a drill, ms, and the grace.
const PERIOD_MS: u64 = 2000;
const GRACE_MS: u64 = 200;
/// How long the exports may take to get through after the load, at most.
const EXPORTED: Duration = Duration::from_secs(25);
/// Societies that send, beside those who name none.
const SOCIETIES: u64 = 9;

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

/// One round server and its machine.
struct Instance {
    server: Server,
    pool: Pool,
    folder: PathBuf,
}

impl CrashDrill {
    /// Runs it; the last line printed is one JSON object.
    pub fn run(&self) -> Result<ExitCode> {
        let own = tempfile::tempdir().context("making a folder")?;
        let folder = self.keep.clone().unwrap_or_else(|| own.path().to_owned());
        std::fs::create_dir_all(&folder).with_context(|| format!("making {}", folder.display()))?;
        let site = Site::rounds(8);
        let (index, catalog) = (Index::start(4.0, self.seed, IndexFaults::default())?, Catalog::start()?);
        let exports = folder.join("exports");
        let collector =
            Collector::start(&exports, self.seed, self.export_faults).context("starting the collector")?;
        let config = |name: &str, listen: &str, pool: &Pool| {
            site.config(name, listen, pool.address(), catalog.address(), Some(index.address()))
        };
        let mut instances = Vec::new();
        for at in 0..self.instances.max(1) {
            let name = format!("n{at}");
            let pool = Pool::start(&site, self.seed + at as u64, PoolFaults::default())?;
            let ledger = folder.join(&name);
            let operator = format!(
                "ledger \"drill\" {{\n  directory = {:?}\n  period = \"{PERIOD_MS}ms\"\n  grace = \"{GRACE_MS}ms\"\n  \
                 batch_lines = 50\n  export {{\n    collector = \"{}\"\n  }}\n}}\n",
                ledger.display().to_string(),
                collector.address()
            );
            let mut server = Server::new(&folder, &name, self.daemon.as_deref(), Some(&operator))?;
            server.start(|listen| config(&name, listen, &pool))?;
            instances.push(Instance { server, pool, folder: ledger });
        }
        let rate = self.rate.unwrap_or(site.capacity() * instances.len() as f64);
        let targets = instances.iter().filter_map(|i| i.server.address()).collect();
        let societies = (0..SOCIETIES).map(|s| Some(format!("society-{s}"))).chain([None]).collect();
        let load = Load { rate, requests: self.requests, societies, seed: self.seed };
        let habits = Habits { retries: 1, ..Habits::default() };
        let proxies = Proxies::start(&site, targets, load, habits)?;

        let bar = ProgressBar::new(self.requests);
        bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {msg}")?);
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x6b69_6c6c);
        let length = self.requests as f64 / rate;
        // Never in the last tenth: the load has to be there to be cut.
        let mut times: Vec<f64> = (0..self.kills).map(|_| rng.random_range(0.05..0.9) * length).collect();
        times.sort_by(f64::total_cmp);
        let (began, mut kills) = (Instant::now(), 0);
        for at in times {
            let due = began + Duration::from_secs_f64(at);
            while Instant::now() < due {
                let left = due.saturating_duration_since(Instant::now());
                std::thread::sleep(left.min(Duration::from_millis(50)));
                bar.set_position(proxies.progress().over);
            }
            let which = rng.random_range(0..instances.len());
            let instance = &mut instances[which];
            instance.server.kill();
            if rng.random_bool(0.5) {
                instance.pool.kill();
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(0..200)));
            let name = instance.server.name.clone();
            instance.server.start(|listen| config(&name, listen, &instance.pool))?;
            kills += 1;
            bar.set_message(format!("{kills} kills"));
        }
        while proxies.progress().over < self.requests {
            bar.set_position(proxies.progress().over);
            std::thread::sleep(Duration::from_millis(50));
        }
        let tally = proxies.finish();
        bar.set_message("waiting for the exports".to_owned());
        let exported = self.await_exports(&instances, &exports);
        bar.finish_and_clear();
        let mut left = true;
        for instance in &mut instances {
            left &= instance.server.leave(Duration::from_secs(5))?;
        }
        let counts = collector.counts();
        let (taken, again) = (counts.taken.load(Ordering::Relaxed), counts.again.load(Ordering::Relaxed));
        let conflicts = counts.conflicts.load(Ordering::Relaxed);
        let faults = counts.faults.load(Ordering::Relaxed);
        // Its folder is free for another look once it has ended.
        drop(collector);
        let found = compare(&instances, &exports, &tally)?;
        let ok = exported && left && conflicts == 0 && found.good();
        if !self.json {
            found.print();
        }
        if !ok && !self.json {
            println!("exported in time: {exported}, left in good order: {left}, conflicts: {conflicts}");
            instances.iter().for_each(|i| println!("log of {}:\n{}", i.server.name, i.server.log()));
        }
        println!(
            "{}",
            json!({
                "answered": found.answered, "billed": found.billed, "cut_in_flight": found.cut_in_flight,
                "lost": found.lost, "doubled": found.doubled, "exported": found.exported, "exports": taken,
                "export_retries": again + faults, "conflicts": conflicts, "kills": kills, "withdrawn": found.withdrawn,
                "wrong": tally.wrong, "second_answers": tally.doubled, "seed": self.seed,
                "seconds": began.elapsed().as_secs_f64().round(), "ok": ok,
            })
        );
        Ok(if ok { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    /// Waits until the collector has every period up to now from each server.
    fn await_exports(&self, instances: &[Instance], exports: &Path) -> bool {
        let (now, since) = (unix_ms(), Instant::now());
        loop {
            let behind = instances.iter().any(|i| {
                let exported = exported_to(exports, &i.server.name);
                exported <= now
            });
            if !behind {
                return true;
            }
            if since.elapsed() > EXPORTED {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

/// The first ms of which the collector does not have all from that server, by the files in its folder.
fn exported_to(exports: &Path, server: &str) -> u64 {
    let Ok(entries) = std::fs::read_dir(exports) else { return 0 };
    let own = format!("@{server}.batch");
    let names = entries.flatten().filter_map(|e| e.file_name().into_string().ok());
    // The numbers in the names go up; only the last file can be the furthest.
    let last = names.filter(|n| n.ends_with(&own)).max();
    let batch = last.and_then(|name| std::fs::read(exports.join(name)).ok());
    let batch = batch.and_then(|bytes| dunlinspread_ledger::batch::Batch::parse(&bytes).ok());
    batch.filter(|b| b.last).map_or(0, |b| b.close.to)
}

/// What the comparison found, summed over all societies.
#[derive(Debug, Default)]
struct Found {
    answered: u64,
    withdrawn: u64,
    billed: u64,
    exported: u64,
    cut_in_flight: u64,
    lost: u64,
    doubled: u64,
    /// Servers whose export is not what their ledger says.
    unlike: Vec<String>,
    wrong: u64,
    rows: Vec<(String, u64, u64, u64, u64)>,
}

impl Found {
    fn good(&self) -> bool {
        let adds_up = self.billed == self.answered + self.withdrawn + self.cut_in_flight;
        adds_up && self.lost == 0 && self.doubled == 0 && self.wrong == 0 && self.unlike.is_empty()
    }

    fn print(&self) {
        let mut rows = crate::table::table(&["society", "answered", "withdrawn", "cut", "billed"]);
        for (society, answered, withdrawn, cut, billed) in &self.rows {
            let figures = [answered, withdrawn, cut, billed].map(|n| n.to_string());
            rows.add_row([vec![society.clone()], figures.to_vec()].concat());
        }
        println!("{rows}");
        self.unlike.iter().for_each(|server| println!("{server}: the export is not what the ledger says"));
    }
}

/// Holds the ledgers against the proxies' counts, and the exports against the ledgers.
fn compare(instances: &[Instance], exports: &Path, tally: &Tally) -> Result<Found> {
    let mut found = Found { wrong: tally.wrong + tally.doubled, ..Found::default() };
    let inbox = BatchReceiver::open(Arc::new(RealDisk::new(exports)?))?;
    let mut billed: BTreeMap<String, u64> = BTreeMap::new();
    for instance in instances {
        let name = &instance.server.name;
        let (lines, walked) = by_society(&RealDisk::new(&instance.folder)?, name)?;
        let mut exported: BTreeMap<(String, Billed), u64> = BTreeMap::new();
        inbox.read(&(name.clone(), walked.state.ledger_id), |batch, _| {
            for item in batch.items {
                let outcome = Billed::try_from(item.outcome).unwrap_or(Billed::Unknown);
                let requests = u64::try_from(item.requests).unwrap_or(0);
                *exported.entry((item.tenant, outcome)).or_default() += requests;
            }
        })?;
        found.exported += exported.values().sum::<u64>();
        if exported != lines || walked.unbilled != (0, 0) {
            found.unlike.push(name.clone());
        }
        for ((society, _), requests) in lines {
            *billed.entry(society).or_default() += requests;
        }
    }
    let mut societies: Vec<Option<String>> =
        tally.counts.keys().map(|(_, society)| society.clone()).collect();
    societies.sort();
    societies.dedup();
    for society in societies {
        let count = tally.sum(|_, s| s == society.as_deref());
        let of = |outcome: Outcome| count[outcome as usize];
        let answered = of(Outcome::Served) + of(Outcome::Late) + of(Outcome::Refused) + of(Outcome::Failed);
        let (withdrawn, cut) = (of(Outcome::Withdrawn), of(Outcome::Cut));
        let name = society.unwrap_or_else(|| UNATTRIBUTED.to_owned());
        let billed = billed.remove(&name).unwrap_or(0);
        let over = answered + withdrawn;
        found.lost += over.saturating_sub(billed);
        found.doubled += billed.saturating_sub(over + cut);
        found.cut_in_flight += billed.saturating_sub(over).min(cut);
        (found.answered, found.withdrawn) = (found.answered + answered, found.withdrawn + withdrawn);
        found.billed += billed;
        found.rows.push((name, answered, withdrawn, cut, billed));
    }
    // Use by someone who sent nothing.
    found.doubled += billed.values().sum::<u64>();
    found.billed += billed.values().sum::<u64>();
    Ok(found)
}
