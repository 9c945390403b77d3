//! Which requests are over for their clients: a worker pool starts no run for them, and ends theirs at an upstream call.

use async_channel::Sender;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What all worker pools of a machine know of the ends of requests. Clients tell it.
#[derive(Clone, Default)]
pub struct RequestEnds(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    over: HashSet<String>,
    /// The runs that wait at an upstream call, each with what its worker pool hears of the end by.
    waiting: HashMap<String, Sender<String>>,
}

impl RequestEnds {
    /// Tells the worker pools that a request was answered or is given up; it has the id that its run has.
    pub fn end(&self, id: &str) {
        let mut state = self.lock();
        state.over.insert(id.to_owned());
        if let Some(pool) = state.waiting.remove(id) {
            // The queue is unbounded; it is closed once the worker pool has ended.
            let _ = pool.try_send(id.to_owned());
        }
    }

    /// Returns whether a request is over.
    pub(crate) fn is_over(&self, id: &str) -> bool {
        self.lock().over.contains(id)
    }

    /// Notes that the run of a request waits, and which worker pool is to hear of the request's end; returns whether the
    /// request is over already.
    pub(crate) fn await_end(&self, id: &str, pool: &Sender<String>) -> bool {
        let mut state = self.lock();
        let is_over = state.over.contains(id);
        if !is_over {
            state.waiting.insert(id.to_owned(), pool.clone());
        }
        is_over
    }

    /// Notes that the run of a request goes on.
    pub(crate) fn stop_awaiting(&self, id: &str) {
        self.lock().waiting.remove(id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
