//! Gauges and counters of a writer, shared between its owner and its thread.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// A snapshot of a writer's gauges and counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterGauges {
    /// Number of queued records.
    pub queued_records: usize,
    /// Size of the queued records, in bytes.
    pub queued_bytes: usize,
    /// Number of successful commits.
    pub commits: u64,
    /// Number of records made durable.
    pub records: u64,
    /// Number of failed commits.
    pub failures: u64,
    /// Number of appends rejected because the queue was full.
    pub overflows: u64,
    /// Duration of the last successful commit, µs.
    pub last_commit_us: u64,
}

/// The counters behind [`WriterGauges`].
#[derive(Default)]
pub(super) struct Counters {
    queued_records: AtomicUsize,
    queued_bytes: AtomicUsize,
    commits: AtomicU64,
    records: AtomicU64,
    failures: AtomicU64,
    overflows: AtomicU64,
    last_commit_us: AtomicU64,
}

impl Counters {
    /// Returns the size of the queued records, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// Counts a record that was added to the queue.
    pub fn enqueued(&self, bytes: usize) {
        self.queued_records.fetch_add(1, Ordering::Relaxed);
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts records that left the queue.
    pub fn dequeued(&self, records: usize, bytes: usize) {
        self.queued_records.fetch_sub(records, Ordering::Relaxed);
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Counts an append that was rejected because the queue was full.
    pub fn overflowed(&self) {
        self.overflows.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a successful commit of `records` records.
    pub fn committed(&self, records: usize, took: Duration) {
        self.last_commit_us.store(took.as_micros() as u64, Ordering::Relaxed);
        self.commits.fetch_add(1, Ordering::Relaxed);
        self.records.fetch_add(records as u64, Ordering::Relaxed);
    }

    /// Counts a commit that failed.
    pub fn failed(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values.
    pub fn read(&self) -> WriterGauges {
        WriterGauges {
            queued_records: self.queued_records.load(Ordering::Relaxed),
            queued_bytes: self.queued_bytes.load(Ordering::Relaxed),
            commits: self.commits.load(Ordering::Relaxed),
            records: self.records.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
            overflows: self.overflows.load(Ordering::Relaxed),
            last_commit_us: self.last_commit_us.load(Ordering::Relaxed),
        }
    }
}
