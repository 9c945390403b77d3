//! Steps from one table to the next, computed once for many followers in one process.
//!
//! Thousands of subscribers in one process that share a table all take the same step at each change. Without
//! sharing, each copies the bucket that changes, a hundred resources, before it finds that others already
//! have the same table. Here the first one computes the step, and those that start from the same table in
//! memory and apply equal changes reuse its result. The caller still checks the digest of the result.

use crate::resource::Change;
use crate::table::Table;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of steps kept; the oldest are dropped.
const MAX_STEPS: usize = 64;

/// Cache of shared steps. Clones share the same cache.
#[derive(Clone, Default)]
pub struct SharedSteps {
    steps: Arc<Mutex<VecDeque<Step>>>,
}

struct Step {
    before: Table,
    changes: Vec<Change>,
    after: Table,
}

impl SharedSteps {
    /// Applies changes to a table, or replaces it by the cached result of the same changes to the same table
    /// in memory.
    pub fn apply(&self, table: &mut Table, changes: &[Change]) {
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |step: &&Step| step.before.shares_with(table) && step.changes == changes;
        if let Some(step) = steps.iter().rev().find(is_same) {
            *table = step.after.clone();
            return;
        }
        let before = table.clone();
        table.apply(changes);
        if steps.len() == MAX_STEPS {
            steps.pop_front();
        }
        steps.push_back(Step { before, changes: changes.to_vec(), after: table.clone() });
    }
}
