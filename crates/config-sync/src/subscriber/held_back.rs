//! Keys whose newest change the round server refused, with the values that stay in force for them.

use crate::resource::{Change, Key, Resource};
use crate::table::Table;
use std::collections::{HashMap, HashSet};

/// Keys that are held back. The caller bounds their number, by [`HeldBack::len_with`].
#[derive(Clone, Debug, Default)]
pub(super) struct HeldBack {
    /// Value in force for each key; `None` if the key has no value.
    in_force: HashMap<Key, Option<Resource>>,
}

impl HeldBack {
    pub(super) fn from_changes(changes: &[Change]) -> HeldBack {
        let mut held_back = HeldBack::default();
        for change in changes {
            let value = match change {
                Change::Put(resource) => Some(resource.clone()),
                Change::Delete(_) => None,
            };
            held_back.in_force.insert(change.key(), value);
        }
        held_back
    }

    /// Returns the changes that lead from the mirror to the settings in force, sorted by key.
    pub(super) fn to_changes(&self) -> Vec<Change> {
        let mut changes: Vec<Change> = self
            .in_force
            .iter()
            .map(|(key, value)| match value {
                Some(resource) => Change::Put(resource.clone()),
                None => Change::Delete(key.clone()),
            })
            .collect();
        changes.sort_by_cached_key(Change::key);
        changes
    }

    /// Returns the changes that would put `mirror`'s values in force, for the keys that `except` does not
    /// change.
    pub(super) fn changes_to(&self, mirror: &Table, except: &[Change]) -> Vec<Change> {
        let touched: HashSet<Key> = except.iter().map(Change::key).collect();
        let mut keys: Vec<&Key> = self.in_force.keys().filter(|key| !touched.contains(key)).collect();
        keys.sort();
        let change = |key: &Key| match mirror.get(key) {
            Some(resource) => Change::Put(resource.clone()),
            None => Change::Delete(key.clone()),
        };
        keys.into_iter().map(change).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.in_force.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }

    /// Returns the value in force for a key that is held back; `None` if the key is not held back.
    pub(super) fn get(&self, key: &Key) -> Option<Option<&Resource>> {
        self.in_force.get(key).map(Option::as_ref)
    }

    /// Removes the keys of changes that came in force.
    pub(super) fn release(&mut self, changes: &[Change]) {
        if self.in_force.is_empty() {
            return;
        }
        for change in changes {
            self.in_force.remove(&change.key());
        }
    }

    /// Returns how many keys would be held back together with those of `changes`.
    pub(super) fn len_with(&self, changes: &[Change]) -> usize {
        let added = changes.iter().filter(|change| !self.in_force.contains_key(&change.key())).count();
        self.in_force.len() + added
    }

    /// Holds back the keys of refused changes with their values in force; `mirror` is the table before the
    /// changes. A key whose refused value equals the one in force is not held back.
    pub(super) fn hold(&mut self, changes: &[Change], mirror: &Table) {
        for change in changes {
            let key = change.key();
            let in_force = self.in_force.remove(&key).unwrap_or_else(|| mirror.get(&key).cloned());
            let refused = match change {
                Change::Put(resource) => Some(resource),
                Change::Delete(_) => None,
            };
            if in_force.as_ref() != refused {
                self.in_force.insert(key, in_force);
            }
        }
    }
}
