//! The table of all resources: a persistent data structure (a clone shares everything until one of the two
//! changes), with digests of the whole and of each of its [`BUCKETS`] buckets that are updated with each
//! change.
//!
//! The hash of its name determines a key's bucket, so that two tables of the same content agree bucket by
//! bucket whatever their history. A change copies the root (64 pointers), one group (64 pointers) and one
//! bucket where these are shared with a clone, and nothing where they are not. Memory grows with the number
//! of resources, which the owner of the table bounds (the publisher by `max_resources`).

mod bucket;

use crate::message::{BUCKETS, BucketContent};
use crate::resource::{Change, Digest, Key, Resource};
use bucket::{Bucket, Effect, key_order, resource_order};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of buckets in a group, and of groups in a table.
const BRANCHING: usize = 64;
const _: () = assert!(BRANCHING * BRANCHING == BUCKETS);

#[derive(Clone, Debug)]
struct Group {
    buckets: [Arc<Bucket>; BRANCHING],
}

#[derive(Clone, Debug)]
struct Root {
    groups: [Arc<Group>; BRANCHING],
    digest: u128,
    len: usize,
}

/// All resources at one position. Cloning increments one reference count.
#[derive(Clone, Debug)]
pub struct Table {
    root: Arc<Root>,
}

impl Default for Table {
    fn default() -> Table {
        Table::new()
    }
}

/// Compares the content, by digest and number of resources.
impl PartialEq for Table {
    fn eq(&self, other: &Table) -> bool {
        self.shares_with(other) || (self.digest() == other.digest() && self.len() == other.len())
    }
}

impl Eq for Table {}

impl Table {
    /// Creates an empty table; its digest is 0.
    pub fn new() -> Table {
        let bucket = Arc::new(Bucket::default());
        let group = Arc::new(Group { buckets: std::array::from_fn(|_| bucket.clone()) });
        let groups = std::array::from_fn(|_| group.clone());
        Table { root: Arc::new(Root { groups, digest: 0, len: 0 }) }
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.root.len
    }

    /// Returns whether the table has no resources.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the digest of all resources.
    pub fn digest(&self) -> Digest {
        Digest(self.root.digest)
    }

    /// Returns whether both are the same table in memory, not merely equal.
    pub fn shares_with(&self, other: &Table) -> bool {
        Arc::ptr_eq(&self.root, &other.root)
    }

    /// Returns the resource with this key.
    pub fn get(&self, key: &Key) -> Option<&Resource> {
        self.bucket_at(usize::from(bucket_of(key))).get(key)
    }

    /// Applies changes in order. Changes without effect copy nothing.
    pub fn apply(&mut self, changes: &[Change]) {
        let mut scratch = Vec::new();
        for change in changes {
            self.apply_one(change, &mut scratch);
        }
    }

    /// Returns the digest of each bucket; 0 for an empty one.
    pub fn bucket_digests(&self) -> Vec<u64> {
        self.buckets().map(|bucket| bucket.digest()).collect()
    }

    /// Returns the resources of a bucket in the order of their keys; none if the number is [`BUCKETS`] or
    /// more.
    pub fn bucket(&self, bucket: u16) -> &[Resource] {
        let bucket = usize::from(bucket);
        if bucket < BUCKETS { self.bucket_at(bucket).resources() } else { &[] }
    }

    /// Returns the buckets whose digests differ from those of another table. An empty slice stands for an
    /// empty table; digests missing at the end of a short slice count as those of empty buckets.
    pub fn differing(&self, digests: &[u64]) -> Vec<u16> {
        let theirs = digests.iter().copied().chain(std::iter::repeat(0));
        let numbers = 0..BUCKETS as u16;
        let pairs = numbers.zip(self.buckets().zip(theirs));
        pairs.filter(|(_, (ours, theirs))| ours.digest() != *theirs).map(|(number, _)| number).collect()
    }

    /// Replaces whole buckets. Resources that don't belong into the bucket they are sent for are left out,
    /// and of two with the same key the later one is used: the caller detects such faults by the digest of
    /// the whole table.
    pub fn replace(&mut self, contents: Vec<BucketContent>) {
        let mut scratch = Vec::new();
        for content in contents {
            let number = usize::from(content.bucket);
            if number >= BUCKETS {
                continue;
            }
            let mut bucket = Bucket::default();
            for resource in content.resources {
                if usize::from(bucket_of_order(resource_order(&resource))) == number {
                    let resource = self.share_class_name(resource);
                    bucket.put(resource, &mut scratch);
                }
            }
            self.set_bucket(number, bucket, &mut scratch);
        }
    }

    /// Returns all resources, ordered by bucket and then by key.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.buckets().flat_map(|bucket| bucket.resources())
    }

    /// Returns the changes that lead from this table to `other`, each key once. Groups and buckets that both
    /// tables share, and buckets with equal digests, are skipped.
    pub fn changes_to(&self, other: &Table) -> Vec<Change> {
        let mut changes = Vec::new();
        for (ours, theirs) in self.root.groups.iter().zip(&other.root.groups) {
            if Arc::ptr_eq(ours, theirs) {
                continue;
            }
            for (old, new) in ours.buckets.iter().zip(&theirs.buckets) {
                if !Arc::ptr_eq(old, new) && old.digest() != new.digest() {
                    old.changes_to(new, &mut changes);
                }
            }
        }
        changes
    }

    fn apply_one(&mut self, change: &Change, scratch: &mut Vec<u8>) {
        let number = match change {
            Change::Put(resource) => bucket_of_order(resource_order(resource)),
            Change::Delete(key) => bucket_of(key),
        };
        let number = usize::from(number);
        if self.bucket_at(number).is_no_op(change) {
            return;
        }
        let effect = match change {
            Change::Put(resource) => {
                let resource = self.share_class_name(resource.clone());
                self.bucket_mut(number).put(resource, scratch)
            }
            Change::Delete(key) => self.bucket_mut(number).delete(key, scratch),
        };
        self.record(effect);
    }

    /// Makes a route share the class name of its class's limit, so that 64,000 routes don't hold 64,000
    /// copies.
    fn share_class_name(&self, resource: Resource) -> Resource {
        let Resource::Route { route, class } = resource else { return resource };
        let class = match self.get(&Key::Class(class.clone())) {
            Some(Resource::ClassLimit { class: shared, .. }) => shared.clone(),
            _ => class,
        };
        Resource::Route { route, class }
    }

    fn set_bucket(&mut self, number: usize, bucket: Bucket, scratch: &mut Vec<u8>) {
        let old = std::mem::take(self.bucket_mut(number));
        for resource in old.resources() {
            let removed = Some(bucket::ResourceHash::of(resource, scratch));
            self.record(Effect { added: None, removed });
        }
        for resource in bucket.resources() {
            let added = Some(bucket::ResourceHash::of(resource, scratch));
            self.record(Effect { added, removed: None });
        }
        *self.bucket_mut(number) = bucket;
    }

    fn record(&mut self, effect: Effect) {
        let root = Arc::make_mut(&mut self.root);
        if let Some(added) = effect.added {
            root.digest = root.digest.wrapping_add(added.table);
            root.len += 1;
        }
        if let Some(removed) = effect.removed {
            root.digest = root.digest.wrapping_sub(removed.table);
            root.len -= 1;
        }
    }

    fn buckets(&self) -> impl Iterator<Item = &Bucket> {
        self.root.groups.iter().flat_map(|group| group.buckets.iter().map(|bucket| &**bucket))
    }

    fn bucket_at(&self, number: usize) -> &Bucket {
        &self.root.groups[number / BRANCHING].buckets[number % BRANCHING]
    }

    fn bucket_mut(&mut self, number: usize) -> &mut Bucket {
        let root = Arc::make_mut(&mut self.root);
        let group = Arc::make_mut(&mut root.groups[number / BRANCHING]);
        Arc::make_mut(&mut group.buckets[number % BRANCHING])
    }
}

/// Returns the bucket that a key belongs into.
pub fn bucket_of(key: &Key) -> u16 {
    bucket_of_order(key_order(key))
}

fn bucket_of_order((kind, name): (u8, &str)) -> u16 {
    (xxh3_64_with_seed(name.as_bytes(), u64::from(kind)) % BUCKETS as u64) as u16
}
