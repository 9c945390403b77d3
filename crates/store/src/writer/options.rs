//! Settings of a writer.

use std::time::Duration;

/// The settings of a [`crate::Writer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterOptions {
    /// How many records may wait.
    pub queue_records: usize,
    /// How many bytes of records may wait.
    pub queue_bytes: usize,
    /// How long a commit waits for more records after its first one; zero to commit at once.
    pub max_batch_delay: Duration,
    /// The records of one commit at most.
    pub batch_records: usize,
    /// The bytes of records from which a commit is made without waiting for more.
    pub batch_bytes: usize,
}

impl Default for WriterOptions {
    /// 4,096 records and 4 MiB may wait; commits are made at once, of some 1 MiB at most.
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
