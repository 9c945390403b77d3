//! Upper estimates of how many bytes resources and transactions take in a frame, by which messages are cut and logs
//! are bounded.

use crate::resource::{Change, Resource, Transaction};

/// What a change takes beside its names: tags, lengths and numbers.
const CHANGE_OVERHEAD: usize = 32;
/// What a transaction takes beside its changes: position, digest and time.
const TRANSACTION_OVERHEAD: usize = 80;

/// The most bytes of changes in one transaction, so that one always fits into a message.
pub const MAX_TRANSACTION_BYTES: usize = 128 * 1024;

/// The most that a resource takes.
pub fn resource_bytes(resource: &Resource) -> usize {
    CHANGE_OVERHEAD
        + match resource {
            Resource::TenantAllowance { tenant, .. } => tenant.len(),
            Resource::Route { route, class } => route.len() + class.len(),
            Resource::ClassLimit { class, .. } => class.len(),
        }
}

/// The most that changes take.
pub fn changes_bytes(changes: &[Change]) -> usize {
    let sizes = changes.iter().map(|change| match change {
        Change::Put(resource) => resource_bytes(resource),
        Change::Delete(key) => CHANGE_OVERHEAD + key.name().len(),
    });
    sizes.sum()
}

/// The most that a transaction takes.
pub fn transaction_bytes(transaction: &Transaction) -> usize {
    TRANSACTION_OVERHEAD + changes_bytes(&transaction.changes)
}
