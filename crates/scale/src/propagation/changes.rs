//! The changes that a run publishes, made from its seed: allowances mostly, some routes and class limits, and some
//! transactions that one zone's servers refuse.

use super::dataset::{ALLOWANCE_STEP, LIMIT_STEP, REFUSED_FROM, class_name, route_name, tenant_name};
use super::topology::Shape;
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;

/// Of a hundred changes, those of allowances.
const ALLOWANCES_PERCENT: u32 = 85;
/// Of a hundred changes, those of routes; the rest are class limits.
const ROUTES_PERCENT: u32 = 10;
/// Of a hundred transactions, those of several changes.
const SEVERAL_PERCENT: u32 = 10;
/// The most changes of such a transaction.
const MOST_CHANGES: usize = 20;
/// One transaction in this many is one that the refusing zone refuses.
const REFUSED_EVERY: u64 = 40;
/// The first of them.
const FIRST_REFUSED: u64 = 10;
/// So many transactions after a refused one, another sets its keys to values that all accept. Until then a server of the
/// refusing zone that needs a snapshot takes none.
const REPAIRED_AFTER: u64 = 8;
/// The tenant and the class, by index, that refused transactions and their repairs change, and no others do, so that
/// what is in force after a repair does not depend on how a server came there.
const RESERVED: usize = 0;

/// A transaction to be proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedTransaction {
    /// Its place in the order of proposals, from 1.
    pub sequence: u64,
    /// Its changes.
    pub changes: Vec<Change>,
    /// Whether the servers of the refusing zone refuse it.
    pub refused: bool,
}

/// All transactions of a run, in their order.
pub fn planned_transactions(shape: Shape, seed: u64, count: u64) -> Vec<PlannedTransaction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (1..=count).map(|sequence| planned_transaction(shape, &mut random, sequence, count)).collect()
}

/// Which zone's servers refuse what [`PlannedTransaction::refused`] says.
pub fn refusing_zone(shape: Shape, seed: u64) -> usize {
    (seed % shape.zones as u64) as usize
}

fn planned_transaction(
    shape: Shape,
    random: &mut ChaCha8Rng,
    sequence: u64,
    count: u64,
) -> PlannedTransaction {
    let turn = sequence % REFUSED_EVERY;
    if turn == FIRST_REFUSED && sequence + REPAIRED_AFTER <= count {
        return PlannedTransaction {
            sequence,
            changes: reserved(random, sequence, REFUSED_FROM),
            refused: true,
        };
    }
    if turn == FIRST_REFUSED + REPAIRED_AFTER {
        return PlannedTransaction { sequence, changes: reserved(random, sequence, 0), refused: false };
    }
    let count =
        if random.random_range(0..100) < SEVERAL_PERCENT { random.random_range(2..=MOST_CHANGES) } else { 1 };
    let mut keys: HashSet<Key> = HashSet::with_capacity(count);
    let mut changes: Vec<Change> = (0..count)
        .map(|_| any_change(shape, random, sequence))
        .filter(|change| keys.insert(change.key()))
        .collect();
    if matches!(changes[..], [Change::Put(Resource::Route { .. })]) {
        // A route may be led to the class that it has; the publisher refuses a transaction that changes nothing.
        changes.push(allowance(shape, random, sequence));
    }
    PlannedTransaction { sequence, changes, refused: false }
}

fn any_change(shape: Shape, random: &mut ChaCha8Rng, sequence: u64) -> Change {
    let kind = random.random_range(0..100);
    if kind < ALLOWANCES_PERCENT {
        allowance(shape, random, sequence)
    } else if kind < ALLOWANCES_PERCENT + ROUTES_PERCENT {
        route(shape, random)
    } else {
        Change::Put(Resource::ClassLimit {
            class: class_name(random.random_range(RESERVED + 1..shape.classes)),
            max_running: limit_value(sequence, random),
        })
    }
}

/// Changes of the reserved keys.
fn reserved(random: &mut ChaCha8Rng, sequence: u64, limit_from: u32) -> Vec<Change> {
    let max_running = limit_from + limit_value(sequence, random);
    let limit = Resource::ClassLimit { class: class_name(RESERVED), max_running };
    let milli_per_second = allowance_value(sequence, random);
    let allowance = Resource::TenantAllowance { tenant: tenant_name(RESERVED), milli_per_second };
    vec![Change::Put(limit), Change::Put(allowance)]
}

fn allowance(shape: Shape, random: &mut ChaCha8Rng, sequence: u64) -> Change {
    Change::Put(Resource::TenantAllowance {
        tenant: tenant_name(random.random_range(RESERVED + 1..shape.tenants)),
        milli_per_second: allowance_value(sequence, random),
    })
}

fn route(shape: Shape, random: &mut ChaCha8Rng) -> Change {
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
