//! The changes that a run publishes, derived from its seed: mostly tenant allowances, some routes and class
//! limits, and some transactions that the servers of one zone refuse.

use super::dataset::{ALLOWANCE_STEP, LIMIT_STEP, REFUSED_FROM, class_name, route_name, tenant_name};
use super::topology::Shape;
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;

/// Percentage of changes that set a tenant's allowance.
const ALLOWANCE_PERCENT: u32 = 85;
/// Percentage of changes that set a route; the rest set class limits.
const ROUTE_PERCENT: u32 = 10;
/// Percentage of transactions with more than one change.
const MULTI_CHANGE_PERCENT: u32 = 10;
/// Maximum number of changes in a transaction with more than one change.
const MAX_TRANSACTION_CHANGES: usize = 20;
/// Interval, in transactions, between those that the refusing zone refuses.
const REFUSAL_INTERVAL: u64 = 40;
/// Sequence number of the first transaction that the refusing zone refuses.
const FIRST_REFUSED: u64 = 10;
/// Number of transactions after a refused one until another sets its keys to values that all zones accept.
/// Until then a server of the refusing zone that needs a snapshot applies none.
const REPAIR_DELAY: u64 = 8;
/// Index of the tenant and of the class that only refused transactions and their repairs change, so that the
/// table in force after a repair does not depend on the path by which a server reached it.
const RESERVED_INDEX: usize = 0;

/// A transaction that the run proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedTransaction {
    /// Sequence number in the order of proposals, from 1.
    pub sequence: u64,
    /// Changes of the transaction.
    pub changes: Vec<Change>,
    /// Whether the servers of the refusing zone refuse it.
    pub refused: bool,
}

/// Returns all transactions of a run in the order of proposals.
pub fn planned_transactions(shape: Shape, seed: u64, count: u64) -> Vec<PlannedTransaction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (1..=count).map(|sequence| planned_transaction(shape, &mut random, sequence, count)).collect()
}

/// Returns the zone whose servers refuse the transactions marked [`PlannedTransaction::refused`].
pub fn refusing_zone(shape: Shape, seed: u64) -> usize {
    (seed % shape.zones as u64) as usize
}

fn planned_transaction(
    shape: Shape,
    random: &mut ChaCha8Rng,
    sequence: u64,
    count: u64,
) -> PlannedTransaction {
    let phase = sequence % REFUSAL_INTERVAL;
    if phase == FIRST_REFUSED && sequence + REPAIR_DELAY <= count {
        return PlannedTransaction {
            sequence,
            changes: reserved_changes(random, sequence, REFUSED_FROM),
            refused: true,
        };
    }
    if phase == FIRST_REFUSED + REPAIR_DELAY {
        return PlannedTransaction {
            sequence,
            changes: reserved_changes(random, sequence, 0),
            refused: false,
        };
    }
    let count = if random.random_range(0..100) < MULTI_CHANGE_PERCENT {
        random.random_range(2..=MAX_TRANSACTION_CHANGES)
    } else {
        1
    };
    let mut keys: HashSet<Key> = HashSet::with_capacity(count);
    let mut changes: Vec<Change> = (0..count)
        .map(|_| random_change(shape, random, sequence))
        .filter(|change| keys.insert(change.key()))
        .collect();
    if matches!(changes[..], [Change::Put(Resource::Route { .. })]) {
        // The route may already have the chosen class, and the publisher rejects a transaction that changes
        // nothing.
        changes.push(allowance_change(shape, random, sequence));
    }
    PlannedTransaction { sequence, changes, refused: false }
}

fn random_change(shape: Shape, random: &mut ChaCha8Rng, sequence: u64) -> Change {
    let kind = random.random_range(0..100);
    if kind < ALLOWANCE_PERCENT {
        allowance_change(shape, random, sequence)
    } else if kind < ALLOWANCE_PERCENT + ROUTE_PERCENT {
        route_change(shape, random)
    } else {
        Change::Put(Resource::ClassLimit {
            class: class_name(random.random_range(RESERVED_INDEX + 1..shape.classes)),
            max_running: limit_value(sequence, random),
        })
    }
}

/// Returns changes of the reserved keys.
fn reserved_changes(random: &mut ChaCha8Rng, sequence: u64, limit_from: u32) -> Vec<Change> {
    let max_running = limit_from + limit_value(sequence, random);
    let limit = Resource::ClassLimit { class: class_name(RESERVED_INDEX), max_running };
    let milli_per_second = allowance_value(sequence, random);
    let allowance = Resource::TenantAllowance { tenant: tenant_name(RESERVED_INDEX), milli_per_second };
    vec![Change::Put(limit), Change::Put(allowance)]
}

fn allowance_change(shape: Shape, random: &mut ChaCha8Rng, sequence: u64) -> Change {
    Change::Put(Resource::TenantAllowance {
        tenant: tenant_name(random.random_range(RESERVED_INDEX + 1..shape.tenants)),
        milli_per_second: allowance_value(sequence, random),
    })
}

fn route_change(shape: Shape, random: &mut ChaCha8Rng) -> Change {
    Change::Put(Resource::Route {
        route: route_name(random.random_range(0..shape.routes)),
        class: class_name(random.random_range(0..shape.classes)),
    })
}

fn allowance_value(sequence: u64, random: &mut ChaCha8Rng) -> u64 {
    sequence * ALLOWANCE_STEP + random.random_range(0..ALLOWANCE_STEP)
}

fn limit_value(sequence: u64, random: &mut ChaCha8Rng) -> u32 {
    sequence as u32 * LIMIT_STEP + random.random_range(0..LIMIT_STEP)
}
