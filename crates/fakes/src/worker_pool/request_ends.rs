//! Which requests are over for their clients: a worker pool starts no run for them, and ends theirs at an upstream call.

use async_channel::Sender;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What all worker pools of a machine know of the ends of requests. Clients tell it.
#[derive(Clone, Default)]
pub struct RequestEnds {
    over: Arc<Mutex<HashSet<String>>>,
    pools: Arc<Mutex<Vec<Sender<String>>>>,
}

impl RequestEnds {
    /// Tells the worker pools that a request was answered or is given up; it has the id that its run has.
    pub fn end(&self, id: &str) {
        lock(&self.over).insert(id.to_owned());
        // The queues are unbounded; one is closed once its worker pool has ended.
        lock(&self.pools).retain(|pool| pool.try_send(id.to_owned()).is_ok());
    }

    /// Returns whether a request is over.
    pub(crate) fn is_over(&self, id: &str) -> bool {
        lock(&self.over).contains(id)
    }

    /// Adds a worker pool that hears of each end.
    pub(crate) fn add_pool(&self, pool: Sender<String>) {
        lock(&self.pools).push(pool);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
