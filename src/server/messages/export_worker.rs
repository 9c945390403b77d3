//! Messages to the export worker.

/// A message to the export worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExportWorkerMessage {
    /// The close line with this number is durable.
    PeriodsClosed(u64),
    /// The line whose append was requested with this tag is durable.
    EntryDurable {
        /// Tag of the request.
        tag: u64,
        /// Start and number of the line.
        line: EntryLine,
    },
    /// The operation requested with this tag was not performed.
    EntryRejected {
        /// Tag of the request.
        tag: u64,
    },
    /// The process shuts down.
    Shutdown,
}

/// Identification of a ledger line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLine {
    /// Number of the server start that wrote the line.
    pub start: u64,
    /// Number of the line in the store.
    pub number: u64,
}
