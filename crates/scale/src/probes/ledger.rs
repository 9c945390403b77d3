//! Measures the ledger: the cost of billing a response, the memory of open aggregates, and the bytes written
//! to the disk and sent to the collector.

use crate::fit::Quantity;
use crate::probes::sample::{nanoseconds, points};
use crate::probes::{Probe, ProbeOptions};
use crate::slope::Slope;
use anyhow::{Result, ensure};
use dunlinspread_ledger::batch::{Batch, UsageItem};
use dunlinspread_ledger::{
    AccountName, Action, Amount, Close, DurabilityMode, FailurePolicy, LedgerSettings, Outcome,
    RecoveredLedger, UsageAccumulator, UsageKey, UsageRecord, UsageTable,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;

/// Number of tenants in the target fleet.
const TARGET_TENANTS: u64 = 390_000;

const SIZES: &[u64] = &[10, 1_000, 100_000, TARGET_TENANTS];
const QUICK_SIZES: &[u64] = &[10, 100];

/// Number of billed responses per run, and number of runs.
const ANSWERS: u64 = 200_000;
const QUICK_ANSWERS: u64 = 1_000;
const RUNS: usize = 5;

/// Requests per second of a server in the target fleet: 2,000,000 on 7,100 servers.
const REQUESTS_PER_SECOND: u64 = 282;

/// Simulated time for which the bytes written to the disk are counted, s.
const DISK_SECONDS: u64 = 60;

/// Length of a period, and time between commits, ms.
const PERIOD_MS: u64 = 900_000;
const COMMIT_MS: u64 = 50;

/// Bytes that the store adds to each commit and to each record.
const FRAME_BYTES: u64 = 36;
const RECORD_BYTES: u64 = 8;

/// Unix time at which the measurements start: a time after 2020 at which a period begins, ms.
const START_MS: u64 = 1_700_000_100_000 - 1_700_000_100_000 % PERIOD_MS;

const AMOUNT: Amount = Amount { requests: 1, pool_us: 20_000, bytes_in: 200, bytes_out: 300 };

const BILL: Quantity = Quantity {
    id: "ledger.bill_ns.tenants",
    quantity: "an answer is billed in interval mode, its lines made, the store done at once",
    unit: "ns",
    against: "tenants",
    fixed: &[("commit_ms", COMMIT_MS as f64), ("requests_per_second", REQUESTS_PER_SECOND as f64)],
    target_size: TARGET_TENANTS as f64,
};
const STRICT_BILL: Quantity = Quantity {
    id: "ledger.strict_bill_ns.tenants",
    quantity: "an answer is billed in strict mode, one at a time",
    fixed: &[],
    ..BILL
};
const DISK: Quantity = Quantity {
    id: "ledger.disk_bytes_per_second.tenants",
    quantity: "records of use to the disk at the target's rate of a server, with the store's frames",
    unit: "bytes/s",
    ..BILL
};
const ADD: Quantity = Quantity {
    id: "ledger.add_ns.tenants",
    quantity: "an amount is added to an open aggregate",
    fixed: &[],
    ..BILL
};
const MEMORY: Quantity = Quantity {
    id: "ledger.table_bytes.tenants",
    quantity: "open aggregates, one a tenant and period, counted by the table",
    unit: "bytes",
    fixed: &[("classes", 1.0), ("outcomes", 1.0)],
    ..BILL
};
const BATCH: Quantity = Quantity {
    id: "ledger.batch_bytes.tenants",
    quantity: "sealed batches of a period to the collector, an item a tenant",
    unit: "bytes",
    fixed: &[("classes", 1.0), ("outcomes", 1.0)],
    ..BILL
};

/// Probe of `crates/ledger`.
pub struct LedgerProbe;

impl Probe for LedgerProbe {
    fn prefix(&self) -> &'static str {
        "ledger"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let sizes = options.sizes(SIZES, QUICK_SIZES);
        let seeds = options.seeds();
        let interval = DurabilityMode::Interval { every_ms: COMMIT_MS, at_risk: 1_000 };
        Ok(vec![
            BILL.slope(points(sizes, seeds, |size, seed| bill_ns(options, size, seed, interval))?),
            STRICT_BILL.slope(points(sizes, seeds, |size, seed| {
                bill_ns(options, size, seed, DurabilityMode::Strict)
            })?),
            DISK.slope(points(sizes, seeds, |size, seed| Ok(vec![disk_rate(size, seed, interval)?]))?),
            ADD.slope(points(sizes, seeds, |size, seed| Ok(add_ns(options, size, seed)))?),
            MEMORY.slope(points(sizes, seeds, |size, _| Ok(vec![table_of(&names(size)).bytes() as f64]))?),
            BATCH.slope(points(sizes, seeds, |size, _| Ok(vec![batch_bytes(&names(size))]))?),
        ])
    }
}

fn names(tenants: u64) -> Vec<String> {
    (0..tenants).map(|tenant| format!("tenant-{tenant:06}")).collect()
}

fn key(name: &str) -> UsageKey<'_> {
    UsageKey { period: START_MS, tenant: name, class: 0, outcome: Outcome::Completed }
}

/// Returns a table with one aggregate for each tenant.
fn table_of(names: &[String]) -> UsageTable {
    let mut table = UsageTable::new(1 << 24);
    for name in names {
        table.add(key(name), &AMOUNT);
    }
    table
}

/// Returns the indexes of randomly chosen tenants, one for each response.
fn tenant_indexes(count: u64, tenants: u64, seed: u64) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..count).map(|_| rng.random_range(0..tenants) as usize).collect()
}

fn answers(options: &ProbeOptions) -> u64 {
    if options.quick { QUICK_ANSWERS } else { ANSWERS }
}

fn add_ns(options: &ProbeOptions, tenants: u64, seed: u64) -> Vec<f64> {
    let names = names(tenants);
    let mut table = table_of(&names);
    let indexes = tenant_indexes(answers(options), tenants, seed);
    nanoseconds(options.runs(RUNS), indexes.len() as u64, || {
        for index in &indexes {
            black_box(table.add(key(&names[*index]), &AMOUNT));
        }
    })
}

/// A ledger with a simulated store that completes every write at once.
struct Load {
    accumulator: UsageAccumulator,
    names: Vec<String>,
    actions: Vec<Action>,
    now: u64,
    records: u64,
    commits: u64,
    bytes: u64,
}

impl Load {
    fn new(tenants: u64, mode: DurabilityMode) -> Load {
        let settings = LedgerSettings {
            period_ms: PERIOD_MS,
            grace_ms: 5_000,
            mode,
            on_failure: FailurePolicy::Reject,
            classes: vec!["a".to_owned()],
            cells: 1 << 20,
            records: 64,
        };
        let mut actions = Vec::new();
        let accumulator =
            UsageAccumulator::start(START_MS, settings, RecoveredLedger::default(), &mut actions);
        let names = names(tenants);
        let mut load = Load { accumulator, names, actions, now: START_MS, records: 0, commits: 0, bytes: 0 };
        load.store();
        load
    }

    /// Bills a response to the tenant with the given index.
    fn bill(&mut self, index: usize) {
        let used = UsageRecord {
            requests: 1,
            account: AccountName::parse(&self.names[index]).unwrap_or(AccountName::unattributed()),
            class: 0,
            outcome: Outcome::Completed,
            pool_us: AMOUNT.pool_us,
            bytes_in: AMOUNT.bytes_in,
            bytes_out: AMOUNT.bytes_out,
        };
        black_box(self.accumulator.bill(self.now, &used, &mut self.actions));
        self.accumulator.flush_if_due(self.now, &mut self.actions);
        self.store();
    }

    /// Simulates the store: counts the appended records and reports them as durable.
    fn store(&mut self) {
        loop {
            let mut records = 0;
            for action in self.actions.drain(..) {
                if let Action::Append(bytes) = action {
                    records += 1;
                    self.bytes += bytes.len() as u64;
                }
            }
            if records == 0 {
                return;
            }
            self.records += records;
            self.commits += 1;
            self.accumulator.on_durable(self.now, records as usize, &mut self.actions);
        }
    }
}

fn bill_ns(options: &ProbeOptions, tenants: u64, seed: u64, mode: DurabilityMode) -> Result<Vec<f64>> {
    let mut load = Load::new(tenants, mode);
    let indexes = tenant_indexes(answers(options), tenants, seed);
    let mut billed = 0;
    let times = nanoseconds(options.runs(RUNS), indexes.len() as u64, || {
        for index in &indexes {
            billed += 1;
            load.now = START_MS + billed * 1000 / REQUESTS_PER_SECOND;
            load.bill(*index);
        }
    });
    ensure!(load.records > 1, "the ledger wrote no record");
    Ok(times)
}

/// Returns the bytes per second written to the disk.
fn disk_rate(tenants: u64, seed: u64, mode: DurabilityMode) -> Result<f64> {
    let mut load = Load::new(tenants, mode);
    (load.bytes, load.records, load.commits) = (0, 0, 0);
    let indexes = tenant_indexes(DISK_SECONDS * REQUESTS_PER_SECOND, tenants, seed);
    for (billed, index) in indexes.into_iter().enumerate() {
        load.now = START_MS + billed as u64 * 1000 / REQUESTS_PER_SECOND;
        load.bill(index);
    }
    ensure!(load.records > 0, "the ledger wrote no record");
    let bytes = load.bytes + load.records * RECORD_BYTES + load.commits * FRAME_BYTES;
    Ok(bytes as f64 / DISK_SECONDS as f64)
}

/// Returns the bytes of the batches of a period in which each tenant has its share of the target's request
/// rate.
fn batch_bytes(names: &[String]) -> f64 {
    let requests = (REQUESTS_PER_SECOND * PERIOD_MS / 1000 / names.len() as u64).max(1) as i64;
    let item = |name: &String| UsageItem {
        period: START_MS,
        original_period: None,
        tenant: name.clone(),
        class: "a".to_owned(),
        outcome: Outcome::Completed as i32,
        requests,
        pool_us: AMOUNT.pool_us as i64 * requests,
        bytes_in: AMOUNT.bytes_in as i64 * requests,
        bytes_out: AMOUNT.bytes_out as i64 * requests,
    };
    let batch = Batch {
        server: "round-server-0001".to_owned(),
        ledger_id: START_MS,
        number: 1,
        previous: vec![0; 32],
        close: Close { from: START_MS, to: START_MS + PERIOD_MS, late: false },
        close_line: 1,
        last: true,
        items: names.iter().map(item).collect(),
        corrections: Vec::new(),
        unbilled: Vec::new(),
    };
    batch.encode_with_digest().0.len() as f64
}
