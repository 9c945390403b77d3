//! The log of the runs that were started on a machine.

use crate::clock::unix_ms;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A started run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// Id assigned by the server.
    pub id: String,
    /// Name of the request class.
    pub class: &'static str,
    /// Request body.
    pub body: Vec<u8>,
    /// Start time, Unix ms.
    pub started_ms: u64,
}

/// The started runs of all worker pools of a machine, in the order of their starts.
#[derive(Clone, Default)]
pub(crate) struct RunLog(Arc<Mutex<Vec<StartedRun>>>);

impl RunLog {
    /// Adds a run that starts now.
    pub fn add(&self, id: &str, class: &'static str, body: &[u8]) {
        let run = StartedRun { id: id.to_owned(), class, body: body.to_vec(), started_ms: unix_ms() };
        self.lock().push(run);
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<StartedRun> {
        self.lock().clone()
    }

    /// Returns the number of started runs for each request body.
    pub fn counts(&self) -> HashMap<Vec<u8>, u32> {
        let mut counts = HashMap::new();
        for run in self.lock().iter() {
            *counts.entry(run.body.clone()).or_insert(0) += 1;
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, Vec<StartedRun>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
