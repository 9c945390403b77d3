//! Messages to the export worker.

/// A message to the export worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExportWorkerMessage {
    /// The close line with this number is durable.
    PeriodsClosed(u64),
    /// The line that was to be appended under this tag is durable.
    EntryDurable {
        /// The tag.
        tag: u64,
        /// The line.
        line: EntryLine,
    },
    /// What was asked for under this tag was not done.
    EntryRejected {
        /// The tag.
        tag: u64,
    },
    /// The program ends.
    Shutdown,
}

/// The start and the number of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLine {
    /// The start that wrote it.
    pub start: u64,
    /// Its number in the store.
    pub number: u64,
}
