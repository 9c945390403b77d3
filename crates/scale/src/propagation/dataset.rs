//! The initial table of a run, which is the same in every process with the same shape and seed.

use super::topology::Shape;
use dunlinspread_config_sync::resource::{Change, MAX_CHANGES, Resource};
use std::sync::Arc;

/// Factor by which the sequence number of a change is multiplied in the allowance that it sets; see
/// [`sequence_of`].
pub const ALLOWANCE_STEP: u64 = 1_000;
/// Factor by which the sequence number of a change is multiplied in the class limit that it sets.
pub const LIMIT_STEP: u32 = 64;
/// Lowest class limit that exceeds what the servers of the refusing zone can run, so that they refuse it.
pub const REFUSED_FROM: u32 = 1 << 31;

/// Returns the name of a tenant.
pub fn tenant_name(tenant: usize) -> Arc<str> {
    format!("tenant-{tenant:06}").into()
}

/// Returns the name of a route.
pub fn route_name(route: usize) -> Arc<str> {
    format!("route-{route:05}").into()
}

/// Returns the name of a class.
pub fn class_name(class: usize) -> Arc<str> {
    format!("class-{class:03}").into()
}

/// Returns the resources of the initial table: class limits, then the routes to these classes, then
/// allowances.
pub fn base_resources(shape: Shape, seed: u64) -> impl Iterator<Item = Resource> {
    let classes: Vec<Arc<str>> = (0..shape.classes).map(class_name).collect();
    let limits = classes.clone().into_iter().enumerate().map(move |(index, class)| Resource::ClassLimit {
        class,
        max_running: 1 + hash(seed, index) as u32 % (LIMIT_STEP - 1),
    });
    let routes = (0..shape.routes).map(move |index| {
        let class = classes[hash(seed, index) as usize % classes.len()].clone();
        Resource::Route { route: route_name(index), class }
    });
    let allowances = (0..shape.tenants).map(move |index| Resource::TenantAllowance {
        tenant: tenant_name(index),
        milli_per_second: 1 + hash(seed, index) % (ALLOWANCE_STEP - 1),
    });
    limits.chain(routes).chain(allowances)
}

/// Returns the transactions that build the initial table.
pub fn base_transactions(shape: Shape, seed: u64) -> impl Iterator<Item = Vec<Change>> {
    let mut resources = base_resources(shape, seed).map(Change::Put).peekable();
    std::iter::from_fn(move || {
        resources.peek()?;
        Some(resources.by_ref().take(MAX_CHANGES).collect())
    })
}

/// Returns the sequence number of the change that set this value: 0 in the initial table, none for a route,
/// whose value can't encode it, and for a deletion.
pub fn sequence_of(change: &Change) -> Option<u64> {
    match change {
        Change::Put(Resource::TenantAllowance { milli_per_second, .. }) => {
            Some(milli_per_second / ALLOWANCE_STEP)
        }
        Change::Put(Resource::ClassLimit { max_running, .. }) => {
            Some(u64::from((max_running & !REFUSED_FROM) / LIMIT_STEP))
        }
        Change::Put(Resource::Route { .. }) | Change::Delete(_) => None,
    }
}

/// Hashes the seed and the index with the finalizer of splitmix64.
fn hash(seed: u64, index: usize) -> u64 {
    let mut value = seed ^ (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
