//! Number of routes to each class, so that a class in use keeps its limit.

use crate::resource::{Change, Invalid, Key, Resource};
use crate::table::Table;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Error: changes would leave a route without a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClassFault {
    Unknown(Invalid),
    InUse { class: Arc<str>, routes: u64 },
}

/// Number of routes by class in one table. Classes without routes are not stored, so the table bounds the
/// size.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassUse {
    routes: HashMap<Arc<str>, u64>,
}

impl ClassUse {
    /// Counts the routes of a whole table.
    pub(super) fn of(table: &Table) -> ClassUse {
        let mut counted = ClassUse::default();
        for resource in table.iter() {
            if let Resource::Route { class, .. } = resource {
                counted.add(class, 1);
            }
        }
        counted
    }

    /// Checks that after `changes` every route that they set leads to a class with a limit or to a known one,
    /// and that no class loses its limit while routes lead to it.
    pub(super) fn check(
        &self,
        before: &Table,
        after: &Table,
        changes: &[Change],
        known: &HashSet<Arc<str>>,
    ) -> Result<(), ClassFault> {
        let exists =
            |class: &Arc<str>| known.contains(class) || after.get(&Key::Class(class.clone())).is_some();
        let shifts = shifts(before, changes);
        for change in changes {
            match change {
                Change::Put(Resource::Route { route, class }) if !exists(class) => {
                    let (route, class) = (route.clone(), class.clone());
                    return Err(ClassFault::Unknown(Invalid::UnknownClass { route, class }));
                }
                Change::Delete(Key::Class(class)) if !exists(class) => {
                    let routes = self.routes_after(class, &shifts);
                    if routes > 0 {
                        return Err(ClassFault::InUse { class: class.clone(), routes });
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Updates the counts with changes to the table `before`.
    pub(super) fn apply(&mut self, before: &Table, changes: &[Change]) {
        for (class, shift) in shifts(before, changes) {
            self.add(&class, shift);
        }
    }

    fn routes_after(&self, class: &Arc<str>, shifts: &HashMap<Arc<str>, i64>) -> u64 {
        let now = self.routes.get(class).copied().unwrap_or(0);
        now.saturating_add_signed(shifts.get(class).copied().unwrap_or(0))
    }

    fn add(&mut self, class: &Arc<str>, shift: i64) {
        let routes = self.routes.entry(class.clone()).or_default();
        *routes = routes.saturating_add_signed(shift);
        if *routes == 0 {
            self.routes.remove(class);
        }
    }
}

/// Returns by how much `changes`, which contain each key at most once, change the number of routes of each
/// class.
fn shifts(before: &Table, changes: &[Change]) -> HashMap<Arc<str>, i64> {
    let mut shifts: HashMap<Arc<str>, i64> = HashMap::new();
    for change in changes {
        let (Change::Put(Resource::Route { .. }) | Change::Delete(Key::Route(_))) = change else { continue };
        if let Some(Resource::Route { class, .. }) = before.get(&change.key()) {
            *shifts.entry(class.clone()).or_default() -= 1;
        }
        if let Change::Put(Resource::Route { class, .. }) = change {
            *shifts.entry(class.clone()).or_default() += 1;
        }
    }
    shifts
}
