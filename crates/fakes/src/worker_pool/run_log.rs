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

/// An upstream reply that was delivered to a run waiting for the reply to another call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrongReply {
    /// Body of the call that the run waited for.
    pub call: String,
    /// The reply.
    pub reply: String,
}

#[derive(Default)]
struct Entries {
    runs: Vec<StartedRun>,
    wrong_replies: Vec<WrongReply>,
}

/// The started runs of all worker pools of a machine, in the order of their starts, and the wrong replies that
/// they received.
#[derive(Clone, Default)]
pub(crate) struct RunLog(Arc<Mutex<Entries>>);

impl RunLog {
    /// Adds a run that starts now.
    pub fn add(&self, id: &str, class: &'static str, body: &[u8]) {
        let run = StartedRun { id: id.to_owned(), class, body: body.to_vec(), started_ms: unix_ms() };
        self.lock().runs.push(run);
    }

    /// Adds a reply that a run received while it waited for the reply to another call.
    pub fn add_wrong_reply(&self, call: &str, reply: &[u8]) {
        let reply = String::from_utf8_lossy(reply).into_owned();
        self.lock().wrong_replies.push(WrongReply { call: call.to_owned(), reply });
    }

    /// Returns all wrong replies.
    pub fn wrong_replies(&self) -> Vec<WrongReply> {
        self.lock().wrong_replies.clone()
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<StartedRun> {
        self.lock().runs.clone()
    }

    /// Returns the number of started runs for each request body.
    pub fn counts(&self) -> HashMap<Vec<u8>, u32> {
        let mut counts = HashMap::new();
        for run in self.lock().runs.iter() {
            *counts.entry(run.body.clone()).or_insert(0) += 1;
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
