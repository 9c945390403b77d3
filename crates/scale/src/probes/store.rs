//! The store: how long recovery takes, what a commit costs, and what goes to the disk at the target's rate.

use crate::fit::Quantity;
use crate::probes::sample::points;
use crate::probes::{Probe, ProbeOptions};
use crate::slope::Slope;
use anyhow::{Result, ensure};
use dunlinspread_store::{Log, Options, RealDisk};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

/// Bytes of a record.
const RECORD: usize = 100;

const RECOVERY_SIZES: &[u64] = &[1_000, 10_000, 100_000, 1_000_000];
const QUICK_RECOVERY_SIZES: &[u64] = &[100, 1_000];

const COMMIT_SIZES: &[u64] = &[1, 10, 100, 1_000];
const QUICK_COMMIT_SIZES: &[u64] = &[1, 10];

/// Requests a second of a server of the target, and around it.
const TARGET_RATE: u64 = 282;
const RATES: &[u64] = &[28, TARGET_RATE, 2_820, 28_200];
const QUICK_RATES: &[u64] = &[28, TARGET_RATE];

/// An hour of a record a request at the target's rate: how long a ledger goes on between two snapshots is assumed.
const TARGET_RECORDS: f64 = TARGET_RATE as f64 * 3_600.0;

/// The records of a commit at the target's rate.
const TARGET_COMMIT: f64 = TARGET_RATE as f64 * COMMIT_MS as f64 / 1000.0;

/// The time between commits.
const COMMIT_MS: u64 = 50;

/// Records of a commit of a log that is to be recovered.
const RECOVERY_COMMIT: u64 = 1_000;

/// Commits in a run, and runs.
const COMMITS: u64 = 20;
const RUNS: usize = 5;

/// Commits that are counted for the bytes of a second.
const COUNTED_COMMITS: u64 = 40;

const OWNER: &str = "probe";

const RECOVERY: Quantity = Quantity {
    id: "store.recovery_ms.records",
    quantity: "a log is opened, its files in the cache of the system",
    unit: "ms",
    against: "records",
    fixed: &[("record_bytes", RECORD as f64), ("records_per_commit", RECOVERY_COMMIT as f64)],
    target_size: TARGET_RECORDS,
};
const COMMIT: Quantity = Quantity {
    id: "store.commit_us.records",
    quantity: "a commit with its sync",
    unit: "us",
    against: "records of the commit",
    fixed: &[("record_bytes", RECORD as f64)],
    target_size: TARGET_COMMIT,
};
const BYTES: Quantity = Quantity {
    id: "store.disk_bytes_per_second.requests_per_second",
    quantity: "growth of the files, a record a request",
    unit: "bytes/s",
    against: "requests a second of a server",
    fixed: &[("record_bytes", RECORD as f64), ("commit_ms", COMMIT_MS as f64)],
    target_size: TARGET_RATE as f64,
};

/// The probe of `crates/store`.
pub struct StoreProbe;

impl Probe for StoreProbe {
    fn prefix(&self) -> &'static str {
        "store"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let recovery_sizes = options.sizes(RECOVERY_SIZES, QUICK_RECOVERY_SIZES);
        let commit_sizes = options.sizes(COMMIT_SIZES, QUICK_COMMIT_SIZES);
        let rates = options.sizes(RATES, QUICK_RATES);
        let seeds = options.seeds();
        Ok(vec![
            RECOVERY.slope(points(recovery_sizes, seeds, |size, seed| recovery_ms(options, size, seed))?),
            COMMIT.slope(points(commit_sizes, seeds, |size, seed| commit_us(options, size, seed))?),
            BYTES.slope(points(rates, seeds, |rate, seed| Ok(vec![disk_rate(rate, seed)?]))?),
        ])
    }
}

fn open(path: &Path) -> Result<Log> {
    let disk = Arc::new(RealDisk::new(path)?);
    Ok(Log::open(disk, Options::new(OWNER), |_| Ok(()))?.0)
}

/// A batch of records of chance.
fn batch(records: u64, rng: &mut ChaCha8Rng) -> Vec<[u8; RECORD]> {
    (0..records)
        .map(|_| {
            let mut record = [0; RECORD];
            rng.fill(&mut record);
            record
        })
        .collect()
}

fn recovery_ms(options: &ProbeOptions, records: u64, seed: u64) -> Result<Vec<f64>> {
    let folder = tempfile::tempdir()?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = open(folder.path())?;
    let mut left = records;
    while left > 0 {
        let count = left.min(RECOVERY_COMMIT);
        log.commit(&batch(count, &mut rng))?;
        left -= count;
    }
    drop(log);
    let mut times = Vec::new();
    for _ in 0..options.runs(RUNS) {
        let disk = Arc::new(RealDisk::new(folder.path())?);
        let began = Instant::now();
        let (log, recovery) = Log::open(disk, Options::new(OWNER), |_| Ok(()))?;
        times.push(began.elapsed().as_secs_f64() * 1e3);
        drop(log);
        ensure!(recovery.records == records, "{} of {records} records were found", recovery.records);
    }
    Ok(times)
}

fn commit_us(options: &ProbeOptions, records: u64, seed: u64) -> Result<Vec<f64>> {
    let folder = tempfile::tempdir()?;
    let mut log = open(folder.path())?;
    let batch = batch(records, &mut ChaCha8Rng::seed_from_u64(seed));
    let mut times = Vec::new();
    for _ in 0..options.runs(RUNS) {
        let began = Instant::now();
        for _ in 0..COMMITS {
            log.commit(&batch)?;
        }
        times.push(began.elapsed().as_secs_f64() * 1e6 / COMMITS as f64);
    }
    Ok(times)
}

/// How fast the files grow at so many requests a second, a record each.
fn disk_rate(rate: u64, seed: u64) -> Result<f64> {
    let folder = tempfile::tempdir()?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = open(folder.path())?;
    let before = folder_bytes(folder.path())?;
    let mut written = 0;
    for commit in 1..=COUNTED_COMMITS {
        let due = rate * commit * COMMIT_MS / 1000;
        log.commit(&batch(due - written, &mut rng))?;
        written = due;
    }
    let grown = folder_bytes(folder.path())? - before;
    Ok(grown as f64 * 1000.0 / (COUNTED_COMMITS * COMMIT_MS) as f64)
}

fn folder_bytes(path: &Path) -> Result<u64> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(path)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}
