//! One bucket of a table: its resources in the order of their keys, with a digest that is updated with each
//! change.

use crate::resource::{Change, Key, Resource};
use std::cmp::Ordering;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of resources by which a full bucket grows: doubling would leave a quarter of all memory unused.
const GROWTH: usize = 4;

/// Hashes of one resource: for the digest of the whole table and for that of its bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ResourceHash {
    pub(super) table: u128,
    pub(super) bucket: u64,
}

impl ResourceHash {
    /// Hashes the encoding of `resource`, which is built in `scratch`.
    pub(super) fn of(resource: &Resource, scratch: &mut Vec<u8>) -> ResourceHash {
        encode(resource, scratch);
        ResourceHash { table: xxh3_128(scratch), bucket: xxh3_64(scratch) }
    }
}

/// Effect of a change on the digests and on the number of resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Effect {
    pub(super) added: Option<ResourceHash>,
    pub(super) removed: Option<ResourceHash>,
}

/// Resources of one bucket.
#[derive(Clone, Debug, Default)]
pub(super) struct Bucket {
    digest: u64,
    resources: Vec<Resource>,
}

impl Bucket {
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn resources(&self) -> &[Resource] {
        &self.resources
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Resource> {
        self.find(key_order(key)).ok().map(|at| &self.resources[at])
    }

    /// Returns whether `change` would have no effect on the bucket.
    pub(super) fn is_no_op(&self, change: &Change) -> bool {
        match change {
            Change::Put(resource) => {
                self.find(resource_order(resource)).is_ok_and(|at| self.resources[at] == *resource)
            }
            Change::Delete(key) => self.find(key_order(key)).is_err(),
        }
    }

    pub(super) fn put(&mut self, resource: Resource, scratch: &mut Vec<u8>) -> Effect {
        let added = ResourceHash::of(&resource, scratch);
        let removed = match self.find(resource_order(&resource)) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.resources[at], resource);
                Some(ResourceHash::of(&old, scratch))
            }
            Err(at) => {
                self.grow_if_full();
                self.resources.insert(at, resource);
                None
            }
        };
        self.record(Effect { added: Some(added), removed })
    }

    pub(super) fn delete(&mut self, key: &Key, scratch: &mut Vec<u8>) -> Effect {
        let Ok(at) = self.find(key_order(key)) else { return Effect::default() };
        let old = self.resources.remove(at);
        self.record(Effect { added: None, removed: Some(ResourceHash::of(&old, scratch)) })
    }

    fn record(&mut self, effect: Effect) -> Effect {
        let added = effect.added.map_or(0, |hash| hash.bucket);
        let removed = effect.removed.map_or(0, |hash| hash.bucket);
        self.digest = self.digest.wrapping_add(added).wrapping_sub(removed);
        effect
    }

    fn grow_if_full(&mut self) {
        if self.resources.len() == self.resources.capacity() {
            self.resources.reserve_exact(GROWTH);
        }
    }

    fn find(&self, wanted: (u8, &str)) -> Result<usize, usize> {
        self.resources.binary_search_by(|resource| resource_order(resource).cmp(&wanted))
    }

    /// Appends the changes that lead from this bucket to `other`, in the order of their keys.
    pub(super) fn changes_to(&self, other: &Bucket, changes: &mut Vec<Change>) {
        let (mut ours, mut theirs) = (self.resources.iter().peekable(), other.resources.iter().peekable());
        loop {
            let order = match (ours.peek(), theirs.peek()) {
                (None, None) => return,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => resource_order(old).cmp(&resource_order(new)),
            };
            let old = if order.is_le() { ours.next() } else { None };
            let new = if order.is_ge() { theirs.next() } else { None };
            match (old, new) {
                (Some(old), None) => changes.push(Change::Delete(old.key())),
                (old, Some(new)) if old != Some(new) => changes.push(Change::Put(new.clone())),
                _ => {}
            }
        }
    }
}

/// Returns the sort key of a resource within a bucket: the kind, then the name.
pub(super) fn resource_order(resource: &Resource) -> (u8, &str) {
    match resource {
        Resource::TenantAllowance { tenant, .. } => (0, tenant),
        Resource::Route { route, .. } => (1, route),
        Resource::ClassLimit { class, .. } => (2, class),
    }
}

/// Returns the sort key of the resource with this key.
pub(super) fn key_order(key: &Key) -> (u8, &str) {
    match key {
        Key::Tenant(name) => (0, name),
        Key::Route(name) => (1, name),
        Key::Class(name) => (2, name),
    }
}

/// Writes the encoding that is hashed: kind, length of the name, name, value. It is unique for each resource.
fn encode(resource: &Resource, bytes: &mut Vec<u8>) {
    let (kind, name) = resource_order(resource);
    bytes.clear();
    bytes.push(kind);
    bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
    bytes.extend_from_slice(name.as_bytes());
    match resource {
        Resource::TenantAllowance { milli_per_second, .. } => {
            bytes.extend_from_slice(&milli_per_second.to_le_bytes());
        }
        Resource::Route { class, .. } => bytes.extend_from_slice(class.as_bytes()),
        Resource::ClassLimit { max_running, .. } => bytes.extend_from_slice(&max_running.to_le_bytes()),
    }
}
