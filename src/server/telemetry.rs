//! Counters of the process: requests by class and outcome, runs, and requests in flight.
//!
//! The serving thread updates the counters and other threads read them at any time, so each counter is a
//! separate atomic. A snapshot is not atomic: counters that change while it is taken may differ by the
//! requests that ended meanwhile.
//!
//! # Invariants
//! A request is counted at most once: as served, refused or failed when its final response is sent, and not
//! at all if it ends without a response.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The response is the result of a run.
    Served,
    /// The request was rejected and never ran.
    Refused,
    /// The request failed, or it was invalid.
    Failed,
}

/// Counters of a class.
#[derive(Debug, Default)]
struct ClassCounters {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    attempts: AtomicU64,
}

impl ClassCounters {
    fn snapshot(&self) -> ClassCounts {
        ClassCounts {
            served: self.served.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            attempts: self.attempts.load(Ordering::Relaxed),
        }
    }
}

/// Counters of a process since its start.
#[derive(Debug)]
pub struct Telemetry {
    class_names: Vec<String>,
    classes: Vec<ClassCounters>,
    received: AtomicU64,
    ended: AtomicU64,
}

impl Telemetry {
    /// Returns counters for these classes, all zero.
    pub fn new(class_names: &[String]) -> Telemetry {
        Telemetry {
            class_names: class_names.to_vec(),
            classes: class_names.iter().map(|_| ClassCounters::default()).collect(),
            received: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        }
    }

    /// Counts a received request, which is in flight until its end is recorded.
    pub fn record_received(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a received request by its outcome. For an unknown class, only the request's end is
    /// counted.
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

    /// Counts the end of a received request to which this process sends no response, because its client
    /// cancelled it or disconnected or because it was forwarded to the successor.
    pub fn record_end_without_response(&self) {
        self.ended.fetch_add(1, Ordering::Release);
    }

    /// Counts a run that is passed to the worker pool.
    pub fn record_attempt(&self, class: usize) {
        if let Some(counters) = self.classes.get(class) {
            counters.attempts.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns a snapshot of all counters.
    pub fn snapshot(&self) -> TelemetrySnapshot {
        // `ended` is read before `received`: a request that ends in between still counts as in flight, and
        // the difference is never negative. Release and acquire ordering ensures that whoever reads an end
        // also sees its reception.
        let ended = self.ended.load(Ordering::Acquire);
        let received = self.received.load(Ordering::Acquire);
        let counts = self.classes.iter().map(ClassCounters::snapshot);
        let requests: BTreeMap<String, ClassCounts> = self.class_names.iter().cloned().zip(counts).collect();
        let attempts = requests.values().map(|class| class.attempts).sum();
        TelemetrySnapshot { requests, in_flight: received.saturating_sub(ended), attempts }
    }
}

/// Snapshot of the counters of a process, as operators read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TelemetrySnapshot {
    /// Counts of each class, by name.
    pub requests: BTreeMap<String, ClassCounts>,
    /// Number of requests that were received and have not ended.
    pub in_flight: u64,
    /// Number of runs passed to the worker pool, of all classes.
    pub attempts: u64,
}

/// Counts of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassCounts {
    /// Number of requests whose response is the result of a run.
    pub served: u64,
    /// Number of rejected requests.
    pub refused: u64,
    /// Number of requests that failed or were invalid.
    pub failed: u64,
    /// Number of runs passed to the worker pool.
    pub attempts: u64,
}
