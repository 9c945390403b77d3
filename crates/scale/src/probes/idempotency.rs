//! Measures the table of idempotency keys: the memory of a key, and the cost of an arrival and of a sweep.

use crate::child_process;
use crate::fit::Quantity;
use crate::probes::sample::{nanoseconds, points};
use crate::probes::{Probe, ProbeOptions};
use crate::resident_growth::Growth;
use crate::slope::{Point, Slope};
use anyhow::{Result, ensure};
use dunlinspread_idempotency::{Bounds, IdempotencyTable, KeyWindow, Lookup, RunResult};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::rc::Rc;

const SIZES: &[u64] = &[1_000, 10_000, 100_000, 1_000_000];
const QUICK_SIZES: &[u64] = &[1_000, 2_000];

/// Number of keys that the daemon allows with 256 MB: a tenth of the memory, at 400 bytes per key.
const TARGET_KEYS: f64 = 67_108.0;

/// Sizes of a key and of a result, bytes.
const KEY_BYTES: usize = 16;
const RESULT_BYTES: usize = 64;

/// Key window of the class, so long that no window ends during the measurement.
const WINDOW: KeyWindow = KeyWindow { window_ms: 60_000.0, max_read_delay_ms: 5_000.0 };

/// Number of arrivals per run, and number of runs.
const ARRIVALS: u64 = 10_000;
const QUICK_ARRIVALS: u64 = 100;
const RUNS: usize = 5;

/// Number of existing keys per key that a run adds, so that the size of the table hardly changes.
const KEYS_PER_ADDED_KEY: u64 = 20;

/// Name of the load whose memory is measured.
pub const LOAD: &str = "keyed";

const FIXED: &[(&str, f64)] = &[("key_bytes", KEY_BYTES as f64), ("result_bytes", RESULT_BYTES as f64)];

const FIRST: Quantity = Quantity {
    id: "keyed.first_ns.keys",
    quantity: "a new key arrives, runs, and its result is kept",
    unit: "ns",
    against: "keys in the table",
    fixed: FIXED,
    target_size: TARGET_KEYS,
};
const REPEAT: Quantity =
    Quantity { id: "keyed.repeat_ns.keys", quantity: "a repeat arrives and takes the result", ..FIRST };
const SWEEP: Quantity =
    Quantity { id: "keyed.sweep_ns.keys", quantity: "a sweep that frees nothing", ..FIRST };
const MEMORY: Quantity = Quantity {
    id: "keyed.table_bytes.keys",
    quantity: "resident memory of the table, results included",
    unit: "bytes",
    ..FIRST
};

/// Probe of `crates/idempotency`.
pub struct IdempotencyProbe;

impl Probe for IdempotencyProbe {
    fn prefix(&self) -> &'static str {
        "keyed"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let sizes = options.sizes(SIZES, QUICK_SIZES);
        let (mut first, mut repeat, mut sweep): (Vec<Point>, Vec<Point>, Vec<Point>) = Default::default();
        for &size in sizes {
            for &seed in options.seeds() {
                let mut load = Load::new(size, seed)?;
                let point = |runs: Vec<f64>| Point::of(size as f64, seed, &runs);
                repeat.push(point(load.repeat_ns(options)));
                sweep.push(point(nanoseconds(options.runs(RUNS), 1, || load.table.sweep(1.0))));
                // This comes last because it adds keys.
                first.push(point(load.first_ns(options)));
            }
        }
        let memory =
            points(sizes, options.seeds(), |size, seed| Ok(vec![child_process::measure(LOAD, size, seed)?]))?;
        Ok(vec![FIRST.slope(first), REPEAT.slope(repeat), SWEEP.slope(sweep), MEMORY.slope(memory)])
    }
}

/// A table of idempotency keys whose requests have run, with their results.
struct Load {
    table: IdempotencyTable<Rc<[u8]>>,
    rng: ChaCha8Rng,
    keys: Vec<Rc<[u8]>>,
    next: u64,
}

impl Load {
    fn new(keys: u64, seed: u64) -> Result<Load> {
        let bounds = Bounds { keys: usize::MAX, result_bytes: usize::MAX };
        let table = IdempotencyTable::new(bounds, vec![WINDOW]);
        let mut load = Load { table, rng: ChaCha8Rng::seed_from_u64(seed), keys: Vec::new(), next: 0 };
        for _ in 0..keys {
            let key = load.new_key();
            ensure!(load.run(&key), "the request of a new key did not run");
            load.keys.push(key);
        }
        Ok(load)
    }

    fn new_key(&mut self) -> Rc<[u8]> {
        let bytes: [u8; KEY_BYTES] = self.rng.random();
        Rc::from(&bytes[..])
    }

    /// Makes the request of a new key arrive, run and complete, and returns whether it ran.
    fn run(&mut self, key: &Rc<[u8]>) -> bool {
        self.next += 1;
        let id = self.next;
        let is_new = self.table.arrive(key, 0, 7, id, 0.0) == Lookup::New;
        let runs = self.table.begin_run(key, 7, id, 0.0).is_ok();
        black_box(self.table.finish_run(key, id, RunResult::Completed(Rc::from([0; RESULT_BYTES]))));
        self.table.finish_attempt(key, id);
        is_new && runs
    }

    fn first_ns(&mut self, options: &ProbeOptions) -> Vec<f64> {
        let arrivals = (self.keys.len() as u64 / KEYS_PER_ADDED_KEY).min(ARRIVALS);
        let runs = options.runs(RUNS);
        let keys: Vec<Vec<Rc<[u8]>>> =
            (0..runs).map(|_| (0..arrivals).map(|_| self.new_key()).collect()).collect();
        let mut keys = keys.into_iter();
        nanoseconds(runs, arrivals, || {
            for key in keys.next().unwrap_or_default() {
                black_box(self.run(&key));
            }
        })
    }

    fn repeat_ns(&mut self, options: &ProbeOptions) -> Vec<f64> {
        let arrivals = if options.quick { QUICK_ARRIVALS } else { ARRIVALS };
        let picks: Vec<Rc<[u8]>> =
            (0..arrivals).map(|_| self.keys[self.rng.random_range(0..self.keys.len())].clone()).collect();
        nanoseconds(options.runs(RUNS), arrivals, || {
            for key in &picks {
                self.next += 1;
                black_box(self.table.arrive(key, 0, 7, self.next, 1.0));
                black_box(self.table.reuse_result(key, self.next, 1.0));
                self.table.finish_attempt(key, self.next);
            }
        })
    }
}

/// Returns the resident memory of a table with `keys` keys, bytes.
///
/// # Errors
/// Returns an error if the request of a key does not run.
pub fn table_load(keys: u64, seed: u64) -> Result<f64> {
    let growth = Growth::begin();
    let mut load = Load::new(keys, seed)?;
    // The table shares the keys with the list, and the list itself belongs to the probe.
    load.keys = Vec::new();
    let bytes = growth.bytes();
    black_box(load.table.len());
    Ok(bytes)
}
