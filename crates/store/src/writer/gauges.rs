//! Figures of a writer, shared between its owner and its thread.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// The figures of a writer at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterGauges {
    /// Records that wait now.
    pub queued_records: usize,
    /// Bytes of records that wait now.
    pub queued_bytes: usize,
    /// Commits made.
    pub commits: u64,
    /// Records made durable.
    pub records: u64,
    /// Commits that failed.
    pub failures: u64,
    /// Appends handed back because the queue was full.
    pub overflows: u64,
    /// How long the last commit took, µs.
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
    /// Returns the bytes of records that wait.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// Counts a record that begins to wait.
    pub fn enqueued(&self, bytes: usize) {
        self.queued_records.fetch_add(1, Ordering::Relaxed);
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts records that no longer wait.
    pub fn dequeued(&self, records: usize, bytes: usize) {
        self.queued_records.fetch_sub(records, Ordering::Relaxed);
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Counts an append that was handed back.
    pub fn overflowed(&self) {
        self.overflows.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a commit of so many records.
    pub fn committed(&self, records: usize, took: Duration) {
        self.last_commit_us.store(took.as_micros() as u64, Ordering::Relaxed);
        self.commits.fetch_add(1, Ordering::Relaxed);
        self.records.fetch_add(records as u64, Ordering::Relaxed);
    }

    /// Counts a commit that failed.
    pub fn failed(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the figures now.
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
