//! Measures the distribution of configuration: the memory of a table, the cost of a change, and the size of
//! snapshots and changes on the wire.

use crate::child_process;
use crate::fit::Quantity;
use crate::probes::sample::{nanoseconds, points};
use crate::probes::{Probe, ProbeOptions};
use crate::resident_growth::Growth;
use crate::slope::Slope;
use anyhow::Result;
use dunlinspread_config_sync::codec;
use dunlinspread_config_sync::frame::FrameKey;
use dunlinspread_config_sync::message::{BUCKETS, BucketContent, PIECE_BYTES, ToClient};
use dunlinspread_config_sync::resource::{Change, Digest, Position, Resource, Transaction};
use dunlinspread_config_sync::size::resource_bytes;
use dunlinspread_config_sync::table::Table;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::sync::Arc;

/// Number of resources in the target fleet: 390,000 tenants, 64,000 routes and a few hundred classes.
const TARGET_RESOURCES: u64 = 454_000;
const SIZES: &[u64] = &[1_000, 10_000, 100_000, TARGET_RESOURCES];
const QUICK_SIZES: &[u64] = &[100, 1_000];

/// One of this many resources is a route; the others are tenants.
const RESOURCES_PER_ROUTE: u64 = 7;
/// Number of classes that routes map to.
const CLASSES: u64 = 200;

/// Numbers of changes in a transaction.
const CHANGE_SIZES: &[u64] = &[1, 10, 100, 1_000];
const QUICK_CHANGE_SIZES: &[u64] = &[1, 10];

/// Number of changes per run, and number of runs.
const CHANGES: u64 = 1_000;
const QUICK_CHANGES: u64 = 10;
const RUNS: usize = 5;

/// Bytes of the IP and TCP headers, timestamps included, of a segment, and bytes of its payload.
const SEGMENT_HEADERS: usize = 52;
const SEGMENT_PAYLOAD: usize = 1_448;

/// Key of the fleet, used only by probes.
const FLEET_KEY: &[u8] = b"a key of the fleet, for probes only";

/// Name of the load whose memory is measured.
pub const LOAD: &str = "config-sync";

const MEMORY: Quantity = Quantity {
    id: "config.table_bytes.resources",
    quantity: "resident memory of a table",
    unit: "bytes",
    against: "resources",
    fixed: &[("classes", CLASSES as f64)],
    target_size: TARGET_RESOURCES as f64,
};
const APPLY: Quantity = Quantity {
    id: "config.apply_ns.resources",
    quantity: "a change is applied to a table of which another one keeps the state before",
    unit: "ns",
    ..MEMORY
};
const SNAPSHOT: Quantity = Quantity {
    id: "config.snapshot_bytes.resources",
    quantity: "a whole snapshot as sent: frames, tags and the headers of full TCP segments (computed)",
    unit: "bytes",
    ..MEMORY
};
const DELTA: Quantity = Quantity {
    id: "config.delta_bytes.changes",
    quantity: "a transaction as sent: frame, tag and the headers of full TCP segments (computed)",
    unit: "bytes",
    against: "changes in the transaction",
    fixed: &[],
    target_size: 1.0,
};

/// Probe of `crates/config-sync`.
pub struct ConfigSyncProbe;

impl Probe for ConfigSyncProbe {
    fn prefix(&self) -> &'static str {
        "config"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let (sizes, seeds) = (options.sizes(SIZES, QUICK_SIZES), options.seeds());
        let changes = options.sizes(CHANGE_SIZES, QUICK_CHANGE_SIZES);
        Ok(vec![
            MEMORY.slope(points(sizes, seeds, |size, seed| {
                Ok(vec![child_process::measure(LOAD, size, seed)?])
            })?),
            APPLY.slope(points(sizes, seeds, |size, seed| Ok(apply_ns(options, size, seed)))?),
            SNAPSHOT.slope(points(sizes, seeds, |size, seed| Ok(vec![snapshot_bytes(size, seed)?]))?),
            DELTA.slope(points(changes, seeds, |count, seed| Ok(vec![delta_bytes(count, seed)?]))?),
        ])
    }
}

/// Returns the resident memory of a table with the given number of resources, bytes.
///
/// # Errors
/// Never returns an error; the signature is that of all loads.
pub fn table_load(size: u64, seed: u64) -> Result<f64> {
    let growth = Growth::begin();
    let table = table(size, seed);
    let bytes = growth.bytes();
    drop(black_box(table));
    Ok(bytes)
}

fn resource(number: u64, rng: &mut ChaCha8Rng) -> Resource {
    if number % RESOURCES_PER_ROUTE == 0 {
        let class = format!("class-{:03}", rng.random_range(0..CLASSES));
        return Resource::Route {
            route: format!("/service-{:04}/operation-{number}", number % 3_000).into(),
            class: class.into(),
        };
    }
    Resource::TenantAllowance {
        tenant: format!("tenant-{number:06}").into(),
        milli_per_second: rng.random_range(1..1_000_000),
    }
}

fn table(size: u64, seed: u64) -> Table {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table::new();
    for number in 0..size {
        table.apply(&[Change::Put(resource(number, &mut rng))]);
    }
    table
}

fn apply_ns(options: &ProbeOptions, size: u64, seed: u64) -> Vec<f64> {
    let before = table(size, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    let changes = if options.quick { QUICK_CHANGES } else { CHANGES };
    nanoseconds(options.runs(RUNS), changes, || {
        for _ in 0..changes {
            let mut after = before.clone();
            after.apply(&[Change::Put(resource(rng.random_range(0..size), &mut rng))]);
            black_box(&after);
        }
    })
}

/// Returns the bytes of a message as sent, including the headers of its TCP segments.
fn wire_bytes(key: &FrameKey, message: &ToClient) -> Result<usize> {
    let frame = key.seal(|out| codec::encode_to_client(message, out))?;
    Ok(frame.len() + frame.len().div_ceil(SEGMENT_PAYLOAD) * SEGMENT_HEADERS)
}

fn snapshot_bytes(size: u64, seed: u64) -> Result<f64> {
    let (key, table) = (FrameKey::new(FLEET_KEY)?, table(size, seed));
    let (mut total, mut sequence, mut piece, mut piece_bytes) = (0, 0, Vec::new(), 0);
    for bucket in 0..BUCKETS as u16 {
        let resources = table.bucket(bucket).to_vec();
        let bytes: usize = resources.iter().map(resource_bytes).sum();
        if piece_bytes + bytes > PIECE_BYTES && !piece.is_empty() {
            total += wire_bytes(&key, &ToClient::Piece { sequence, buckets: std::mem::take(&mut piece) })?;
            (sequence, piece_bytes) = (sequence + 1, 0);
        }
        piece.push(BucketContent { bucket, resources });
        piece_bytes += bytes;
    }
    total += wire_bytes(&key, &ToClient::Piece { sequence, buckets: piece })?;
    Ok(total as f64)
}

fn delta_bytes(changes: u64, seed: u64) -> Result<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let transaction = Transaction {
        position: Position { epoch: 1, revision: 1_000_000 },
        changes: (0..changes).map(|number| Change::Put(resource(number + 1, &mut rng))).collect(),
        digest: Digest(rng.random()),
        published_unix_ms: 1_790_000_000_000,
    };
    Ok(wire_bytes(&FrameKey::new(FLEET_KEY)?, &ToClient::Deltas(vec![Arc::new(transaction)]))? as f64)
}
