//! Settings of a writer.

use std::time::Duration;

/// The settings of a [`crate::Writer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterOptions {
    /// Maximum number of queued records.
    pub queue_records: usize,
    /// Maximum size of the queued records, in bytes.
    pub queue_bytes: usize,
    /// Maximum time that a commit waits for more records after its first one. Zero commits immediately.
    pub max_batch_delay: Duration,
    /// Maximum number of records in one commit.
    pub batch_records: usize,
    /// Size of a batch in bytes at which it is committed without waiting for more records.
    pub batch_bytes: usize,
}

impl Default for WriterOptions {
    /// Returns the default options: a queue of up to 4,096 records and 4 MiB, and immediate commits of at
    /// most about 1 MiB.
    fn default() -> Self {
        WriterOptions {
            queue_records: 4096,
            queue_bytes: 4 << 20,
            max_batch_delay: Duration::ZERO,
            batch_records: 4096,
            batch_bytes: 1 << 20,
        }
    }
}
