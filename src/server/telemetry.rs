//! The figures of the process: counts of requests by class, runs, and requests in flight.
//!
//! The serving thread writes them and other threads read them at any time, so each figure is an atomic of its own. A
//! snapshot is not taken at one instant: figures that change while it is taken may differ by the requests that ended
//! meanwhile.
//!
//! # Invariants
//! A request is counted once at most: as served, refused or failed where its final response leaves, and under no count if
//! its client left before.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It got the result of a run.
    Served,
    /// It was rejected and never ran.
    Refused,
    /// It failed, or it was invalid.
    Failed,
}

/// The counters of a class.
#[derive(Debug, Default)]
struct ClassCounters {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    attempts: AtomicU64,
}

impl ClassCounters {
    fn snapshot(&self) -> ClassFigures {
        ClassFigures {
            served: self.served.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            attempts: self.attempts.load(Ordering::Relaxed),
        }
    }
}

/// The figures of a process, from its start on.
#[derive(Debug)]
pub struct Telemetry {
    class_names: Vec<String>,
    classes: Vec<ClassCounters>,
    taken: AtomicU64,
    ended: AtomicU64,
}

impl Telemetry {
    /// Returns figures of zero for these classes.
    pub fn new(class_names: &[String]) -> Telemetry {
        Telemetry {
            class_names: class_names.to_vec(),
            classes: class_names.iter().map(|_| ClassCounters::default()).collect(),
            taken: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        }
    }

    /// Counts a request that was taken and has not ended.
    pub fn record_taken(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request that was taken. A class that is not listed is under no count.
    pub fn record_end(&self, class: usize, end: RequestEnd) {
        self.ended.fetch_add(1, Ordering::Release);
        let Some(counters) = self.classes.get(class) else { return };
        let counter = match end {
            RequestEnd::Served => &counters.served,
            RequestEnd::Refused => &counters.refused,
            RequestEnd::Failed => &counters.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request that was taken and whose client waits no longer.
    pub fn record_client_gone(&self) {
        self.ended.fetch_add(1, Ordering::Release);
    }

    /// Counts a run that is handed to the worker pool.
    pub fn record_attempt(&self, class: usize) {
        if let Some(counters) = self.classes.get(class) {
            counters.attempts.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns all figures.
    pub fn snapshot(&self) -> TelemetrySnapshot {
        // Read before the requests taken: one that ends in between is still in flight here, and never below zero. Who
        // reads an end sees that the request was taken, by the order of release and acquire.
        let ended = self.ended.load(Ordering::Acquire);
        let taken = self.taken.load(Ordering::Acquire);
        let figures = self.classes.iter().map(ClassCounters::snapshot);
        let requests: BTreeMap<String, ClassFigures> =
            self.class_names.iter().cloned().zip(figures).collect();
        let attempts = requests.values().map(|class| class.attempts).sum();
        TelemetrySnapshot { requests, in_flight: taken.saturating_sub(ended), attempts }
    }
}

/// The figures of a process at about one time, as operators read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TelemetrySnapshot {
    /// The figures of each class, by name.
    pub requests: BTreeMap<String, ClassFigures>,
    /// Requests that were taken and have not ended.
    pub in_flight: u64,
    /// Runs handed to the worker pool, of all classes.
    pub attempts: u64,
}

/// The figures of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassFigures {
    /// Requests that got the result of a run.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Runs handed to the worker pool.
    pub attempts: u64,
}
