//! The runs that were begun on a machine.

use crate::clock::unix_ms;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A run that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// The id that the server gave it.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// Its body.
    pub body: Vec<u8>,
    /// When it was begun, Unix ms.
    pub started_ms: u64,
}

/// The log that all worker pools of a machine share, in the order of the starts.
#[derive(Clone, Default)]
pub(crate) struct RunLog(Arc<Mutex<Vec<StartedRun>>>);

impl RunLog {
    /// Adds a run that begins now.
    pub fn add(&self, id: &str, class: &'static str, body: &[u8]) {
        let run = StartedRun { id: id.to_owned(), class, body: body.to_vec(), started_ms: unix_ms() };
        self.lock().push(run);
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<StartedRun> {
        self.lock().clone()
    }

    /// Returns how often each body was begun to run.
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
