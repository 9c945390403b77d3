//! Measures the store: the duration of recovery, the cost of a commit, and the growth of the files at the
//! target's request rate.

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

/// Size of a record, bytes.
const RECORD_BYTES: usize = 100;

const RECOVERY_SIZES: &[u64] = &[1_000, 10_000, 100_000, 1_000_000];
const QUICK_RECOVERY_SIZES: &[u64] = &[100, 1_000];

const COMMIT_SIZES: &[u64] = &[1, 10, 100, 1_000];
const QUICK_COMMIT_SIZES: &[u64] = &[1, 10];

/// Requests per second of a server in the target fleet, and the rates that are measured.
const TARGET_RATE: u64 = 282;
const RATES: &[u64] = &[28, TARGET_RATE, 2_820, 28_200];
const QUICK_RATES: &[u64] = &[28, TARGET_RATE];

/// Number of records in one hour at the target's rate with one record per request. That a ledger writes a
/// snapshot once per hour is an assumption.
const TARGET_RECORDS: f64 = TARGET_RATE as f64 * 3_600.0;

/// Number of records per commit at the target's rate.
const TARGET_COMMIT: f64 = TARGET_RATE as f64 * COMMIT_MS as f64 / 1000.0;

/// Time between commits, ms.
const COMMIT_MS: u64 = 50;

/// Number of records per commit in a log that is recovered.
const RECOVERY_COMMIT: u64 = 1_000;

/// Number of commits per run, and number of runs.
const COMMITS: u64 = 20;
const RUNS: usize = 5;

/// Number of commits from which the bytes per second are computed.
const COUNTED_COMMITS: u64 = 40;

const OWNER: &str = "probe";

const RECOVERY: Quantity = Quantity {
    id: "store.recovery_ms.records",
    quantity: "a log is opened, its files in the cache of the system",
    unit: "ms",
    against: "records",
    fixed: &[("record_bytes", RECORD_BYTES as f64), ("records_per_commit", RECOVERY_COMMIT as f64)],
    target_size: TARGET_RECORDS,
};
const COMMIT: Quantity = Quantity {
    id: "store.commit_us.records",
    quantity: "a commit with its sync",
    unit: "us",
    against: "records of the commit",
    fixed: &[("record_bytes", RECORD_BYTES as f64)],
    target_size: TARGET_COMMIT,
};
const BYTES: Quantity = Quantity {
    id: "store.disk_bytes_per_second.requests_per_second",
    quantity: "growth of the files, a record a request",
    unit: "bytes/s",
    against: "requests a second of a server",
    fixed: &[("record_bytes", RECORD_BYTES as f64), ("commit_ms", COMMIT_MS as f64)],
    target_size: TARGET_RATE as f64,
};

/// Probe of `crates/store`.
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

/// Returns a batch of random records.
fn batch(records: u64, rng: &mut ChaCha8Rng) -> Vec<[u8; RECORD_BYTES]> {
    (0..records)
        .map(|_| {
            let mut record = [0; RECORD_BYTES];
            rng.fill(&mut record);
            record
        })
        .collect()
}

fn recovery_ms(options: &ProbeOptions, records: u64, seed: u64) -> Result<Vec<f64>> {
    let folder = tempfile::tempdir()?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = open(folder.path())?;
    let mut remaining = records;
    while remaining > 0 {
        let count = remaining.min(RECOVERY_COMMIT);
        log.commit(&batch(count, &mut rng))?;
        remaining -= count;
    }
    drop(log);
    let mut times = Vec::new();
    for _ in 0..options.runs(RUNS) {
        let disk = Arc::new(RealDisk::new(folder.path())?);
        let start = Instant::now();
        let (log, recovery) = Log::open(disk, Options::new(OWNER), |_| Ok(()))?;
        times.push(start.elapsed().as_secs_f64() * 1e3);
        drop(log);
        ensure!(recovery.records == records, "{} of {records} records were recovered", recovery.records);
    }
    Ok(times)
}

fn commit_us(options: &ProbeOptions, records: u64, seed: u64) -> Result<Vec<f64>> {
    let folder = tempfile::tempdir()?;
    let mut log = open(folder.path())?;
    let batch = batch(records, &mut ChaCha8Rng::seed_from_u64(seed));
    let mut times = Vec::new();
    for _ in 0..options.runs(RUNS) {
        let start = Instant::now();
        for _ in 0..COMMITS {
            log.commit(&batch)?;
        }
        times.push(start.elapsed().as_secs_f64() * 1e6 / COMMITS as f64);
    }
    Ok(times)
}

/// Returns the growth of the files in bytes per second at `rate` requests per second with one record each.
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
