//! What a writer's thread is sent.

/// A command to a writer's thread.
pub(super) enum Command {
    /// Write a record.
    Append {
        /// The generation in which the owner appended it.
        generation: u64,
        ticket: u64,
        record: Vec<u8>,
    },
    /// Replace all records before `before` by `content`.
    Snapshot { before: u64, content: Vec<u8> },
    /// Write what waits, and close the log cleanly.
    Close,
}
