//! The requests that have ended for their clients. A worker pool starts no run for them, and aborts their
//! runs at an upstream call.

use async_channel::Sender;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The ended requests, shared by all worker pools of a machine and reported by the clients.
#[derive(Clone, Default)]
pub struct RequestEnds(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    ended: HashSet<String>,
    /// For each run at an upstream call, the channel that notifies its worker pool when the request ends.
    waiting_runs: HashMap<String, Sender<String>>,
}

impl RequestEnds {
    /// Notifies the worker pools that a request was answered or that its client gave up; `id` is also the id
    /// of its run.
    pub fn end(&self, id: &str) {
        let mut state = self.lock();
        state.ended.insert(id.to_owned());
        if let Some(pool) = state.waiting_runs.remove(id) {
            // The queue is unbounded; it is closed once the worker pool has ended.
            let _ = pool.try_send(id.to_owned());
        }
    }

    /// Returns whether a request has ended.
    pub(crate) fn has_ended(&self, id: &str) -> bool {
        self.lock().ended.contains(id)
    }

    /// Returns whether a request has already ended; if not, registers its run as waiting, so that `pool` is
    /// notified when the request ends.
    pub(crate) fn register_waiting_run(&self, id: &str, pool: &Sender<String>) -> bool {
        let mut state = self.lock();
        let has_ended = state.ended.contains(id);
        if !has_ended {
            state.waiting_runs.insert(id.to_owned(), pool.clone());
        }
        has_ended
    }

    /// Removes the run of a request from the waiting runs, because it continues.
    pub(crate) fn unregister_waiting_run(&self, id: &str) {
        self.lock().waiting_runs.remove(id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
