//! Decides when a publisher's log is replaced by a snapshot.

/// Bytes of appended transactions after which a snapshot is taken, whatever the number of transactions.
const MAX_APPENDED_BYTES: usize = 64 << 20;

/// State of the compaction of a publisher's log.
pub(super) struct Compaction {
    /// Number of appended transactions after which a snapshot is taken.
    snapshot_every: u64,
    /// Number of transactions appended since the last snapshot began.
    pub(super) appended: u64,
    /// Bytes of the transactions appended since the last snapshot began.
    pub(super) appended_bytes: usize,
    /// Time at which the last durable transaction was accepted, Unix ms.
    pub(super) published_unix_ms: u64,
    /// Whether a snapshot is being taken.
    pub(super) under_way: bool,
}

impl Compaction {
    /// Creates the state for a log with `appended` transactions since its last snapshot and no snapshot under
    /// way.
    pub(super) fn new(snapshot_every: u64, appended: u64) -> Compaction {
        Compaction {
            snapshot_every: snapshot_every.max(1),
            appended,
            appended_bytes: 0,
            published_unix_ms: 0,
            under_way: false,
        }
    }

    /// Returns whether a snapshot should be taken.
    pub(super) fn is_due(&self) -> bool {
        self.appended >= self.snapshot_every || self.appended_bytes >= MAX_APPENDED_BYTES
    }

    /// Records that a snapshot has begun; transactions after it are counted from 0.
    pub(super) fn begin(&mut self) {
        (self.under_way, self.appended, self.appended_bytes) = (true, 0, 0);
    }
}
