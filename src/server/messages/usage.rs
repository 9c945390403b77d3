//! Messages to the dispatcher from the threads of the usage ledger.

use dunlinspread_ledger::LineKind;
use dunlinspread_store::Progress;

/// A message from a thread of the usage ledger.
#[derive(Debug)]
pub enum UsageMessage {
    /// The store made progress.
    StoreProgress(Progress),
    /// The export worker requests that a line be appended.
    AppendEntry {
        /// Content of the line.
        kind: LineKind,
        /// Tag of the request, which is returned once the line is durable.
        tag: u64,
    },
    /// The lines before a number are no longer needed, and are replaced by the state that they imply.
    ReleaseLines {
        /// Number of the first line that is kept.
        before: u64,
        /// Encoded state after all lines before that line.
        state: Vec<u8>,
    },
    /// The export worker requests that all periods up to now be closed. Success is reported as
    /// [`ExportWorkerMessage::PeriodsClosed`](super::ExportWorkerMessage::PeriodsClosed), failure as
    /// [`ExportWorkerMessage::EntryRejected`](super::ExportWorkerMessage::EntryRejected) with the tag.
    ClosePeriods {
        /// Tag of the request.
        tag: u64,
    },
}
