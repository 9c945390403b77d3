//! Equal tables of many subscribers in one process, kept once.

use crate::resource::Digest;
use crate::shared_steps::SharedSteps;
use crate::subscriber::Subscriber;
use crate::table::Table;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// How many tables are kept for others: the newest ones.
const KEPT: usize = 64;

/// Tables that subscribers of one process share when they are equal, so that thousands cost the memory of one. Clones
/// are the same.
#[derive(Clone, Default)]
pub struct SharedTables {
    kept: Arc<Mutex<Kept>>,
    steps: SharedSteps,
}

#[derive(Default)]
struct Kept {
    tables: HashMap<Digest, Table>,
    oldest_first: VecDeque<Digest>,
}

impl SharedTables {
    /// Lets a subscriber take part in computing steps together.
    pub(super) fn share_steps(&self, subscriber: &mut Subscriber) {
        subscriber.share_steps(self.steps.clone());
    }

    /// Lets a subscriber use the table that another one already has, or others use this one's.
    pub(super) fn share(&self, subscriber: &mut Subscriber) {
        let table = subscriber.follower().table().clone();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = kept.tables.get(&table.digest()) {
            subscriber.share_table(known);
            return;
        }
        let digest = table.digest();
        kept.tables.insert(digest, table);
        kept.oldest_first.push_back(digest);
        if kept.oldest_first.len() > KEPT {
            if let Some(oldest) = kept.oldest_first.pop_front() {
                kept.tables.remove(&oldest);
            }
        }
    }
}
