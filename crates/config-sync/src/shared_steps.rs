//! Steps from one table to the next, computed once for many in one process.
//!
//! Thousands of subscribers in one process that share a table all take the same step at each change. Each by itself
//! copies the bucket that changes, a hundred resources, before it finds that others have the same table already. Here the
//! first one computes the step, and those that begin with the very same table in memory and apply equal changes take its
//! result. Whoever uses this checks the digest of the result as before.

use crate::resource::Change;
use crate::table::Table;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// How many steps are kept: the newest ones.
const KEPT: usize = 64;

/// Steps that are shared. Clones are the same.
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
    /// Applies changes to a table, or takes over the table that another one with this content and these changes became.
    pub fn apply(&self, table: &mut Table, changes: &[Change]) {
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |step: &&Step| step.before.shares_with(table) && step.changes == changes;
        if let Some(step) = steps.iter().rev().find(is_same) {
            *table = step.after.clone();
            return;
        }
        let before = table.clone();
        table.apply(changes);
        if steps.len() == KEPT {
            steps.pop_front();
        }
        steps.push_back(Step { before, changes: changes.to_vec(), after: table.clone() });
    }
}
