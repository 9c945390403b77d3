//! Shares equal tables between the subscribers of one process, so that each is held in memory once.

use crate::resource::Digest;
use crate::shared_steps::SharedSteps;
use crate::subscriber::Subscriber;
use crate::table::Table;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of tables kept for sharing; the oldest ones are dropped first.
const MAX_SHARED_TABLES: usize = 64;

/// Tables that the subscribers of one process share when they are equal, so that thousands of equal tables
/// need the memory of one. All clones refer to the same set of tables.
#[derive(Clone, Default)]
pub struct SharedTables {
    recent: Arc<Mutex<RecentTables>>,
    steps: SharedSteps,
}

#[derive(Default)]
struct RecentTables {
    tables: HashMap<Digest, Table>,
    oldest_first: VecDeque<Digest>,
}

impl SharedTables {
    /// Makes a subscriber share the computed steps from one table to the next with the other subscribers.
    pub(super) fn share_steps(&self, subscriber: &mut Subscriber) {
        subscriber.share_steps(self.steps.clone());
    }

    /// Replaces a subscriber's table with an equal one that is already shared, or else offers its table for
    /// sharing.
    pub(super) fn share(&self, subscriber: &mut Subscriber) {
        let table = subscriber.follower().table().clone();
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = recent.tables.get(&table.digest()) {
            subscriber.share_table(known);
            return;
        }
        let digest = table.digest();
        recent.tables.insert(digest, table);
        recent.oldest_first.push_back(digest);
        if recent.oldest_first.len() > MAX_SHARED_TABLES {
            if let Some(oldest) = recent.oldest_first.pop_front() {
                recent.tables.remove(&oldest);
            }
        }
    }
}
