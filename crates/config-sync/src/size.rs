//! Upper estimates of the size of resources and transactions in a frame, which limit messages and logs.

use crate::resource::{Change, Resource, Transaction};

/// Estimated size of a change without its names, in bytes: tags, lengths and numbers.
const CHANGE_OVERHEAD: usize = 32;
/// Estimated size of a transaction without its changes, in bytes: position, digest and time.
const TRANSACTION_OVERHEAD: usize = 80;

/// Maximum size of the changes of one transaction, in bytes, so that a transaction always fits into a
/// message.
pub const MAX_TRANSACTION_BYTES: usize = 128 * 1024;

/// Returns an upper estimate of the size of a resource, in bytes.
pub fn resource_bytes(resource: &Resource) -> usize {
    CHANGE_OVERHEAD
        + match resource {
            Resource::TenantAllowance { tenant, .. } => tenant.len(),
            Resource::Route { route, class } => route.len() + class.len(),
            Resource::ClassLimit { class, .. } => class.len(),
        }
}

/// Returns an upper estimate of the size of changes, in bytes.
pub fn changes_bytes(changes: &[Change]) -> usize {
    let sizes = changes.iter().map(|change| match change {
        Change::Put(resource) => resource_bytes(resource),
        Change::Delete(key) => CHANGE_OVERHEAD + key.name().len(),
    });
    sizes.sum()
}

/// Returns an upper estimate of the size of a transaction, in bytes.
pub fn transaction_bytes(transaction: &Transaction) -> usize {
    TRANSACTION_OVERHEAD + changes_bytes(&transaction.changes)
}
