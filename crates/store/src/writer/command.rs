//! Commands to a writer's thread.

/// A command to a writer's thread.
pub(super) enum Command {
    /// Writes a record.
    Append {
        /// Generation in which the owner appended the record.
        generation: u64,
        ticket: u64,
        record: Vec<u8>,
    },
    /// Replaces all records before `before` by `content`.
    Snapshot { before: u64, content: Vec<u8> },
    /// Commits the queued records, and closes the log cleanly.
    Close,
}
