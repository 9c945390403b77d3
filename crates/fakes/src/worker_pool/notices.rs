//! The numbered notices of a worker pool and the link to which they are written.

use crate::worker_pool::faults::WorkerPoolFaults;
use async_channel::Sender;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::VecDeque;

/// Maximum number of notices that are kept for a later link.
const MAX_KEPT_NOTICES: usize = 4000;

/// The kept notices and the current link.
///
/// # Invariants
/// Notices are numbered from 1 without gaps.
#[derive(Default)]
pub(crate) struct Notices {
    kept: VecDeque<(u64, String)>,
    last_number: u64,
    link: Option<Sender<String>>,
}

impl Notices {
    /// Returns the number of the next notice.
    pub fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Removes all notices; the next one is number 1.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.last_number = 0;
    }

    /// Replaces the link and writes to it all kept notices whose number is above `after`. The previous link
    /// is closed.
    pub fn connect(&mut self, link: Sender<String>, after: u64) {
        for (number, line) in &self.kept {
            if *number > after {
                let _ = link.try_send(line.clone());
            }
        }
        self.link = Some(link);
    }

    /// Closes the link.
    pub fn disconnect(&mut self) {
        self.link = None;
    }

    /// Writes a line to the link, if there is one. The link is closed if its queue is full.
    pub fn write(&mut self, line: String) {
        if self.link.as_ref().is_some_and(|link| link.try_send(line).is_err()) {
            self.link = None;
        }
    }

    /// Numbers a notice, keeps it and writes it, with random faults.
    pub fn send_with_faults(&mut self, notice: Value, faults: &WorkerPoolFaults, rng: &mut ChaCha8Rng) {
        if rng.random::<f64>() < faults.chatter {
            self.send(json!({"op": "chatter", "end": "all is well"}));
        }
        let duplicate = rng.random::<f64>() < faults.duplicate;
        let line = self.send(notice);
        if duplicate {
            self.write(line);
        }
    }

    /// Numbers a notice, keeps it and writes it; returns its line.
    pub fn send(&mut self, mut notice: Value) -> String {
        self.last_number += 1;
        notice["seq"] = json!(self.last_number);
        let line = format!("{notice}\n");
        self.kept.push_back((self.last_number, line.clone()));
        if self.kept.len() > MAX_KEPT_NOTICES {
            self.kept.pop_front();
        }
        self.write(line.clone());
        line
    }
}
