//! When a publisher's log is replaced by a snapshot.

/// After so many bytes of transactions a snapshot is taken, however few they are.
const MAX_APPENDED_BYTES: usize = 64 << 20;

/// How far compaction is.
pub(super) struct Compaction {
    /// Transactions after which a snapshot is taken.
    every: u64,
    /// Transactions since the last one, and their bytes.
    pub(super) appended: u64,
    pub(super) appended_bytes: usize,
    /// When the last durable transaction was accepted.
    pub(super) published_unix_ms: u64,
    pub(super) under_way: bool,
}

impl Compaction {
    /// None under way, with so many transactions since the last snapshot.
    pub(super) fn new(every: u64, appended: u64) -> Compaction {
        Compaction {
            every: every.max(1),
            appended,
            appended_bytes: 0,
            published_unix_ms: 0,
            under_way: false,
        }
    }

    /// Whether a snapshot is to be taken.
    pub(super) fn is_due(&self) -> bool {
        self.appended >= self.every || self.appended_bytes >= MAX_APPENDED_BYTES
    }

    /// A snapshot is being taken: what comes after it counts from 0.
    pub(super) fn begin(&mut self) {
        (self.under_way, self.appended, self.appended_bytes) = (true, 0, 0);
    }
}
