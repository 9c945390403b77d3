//! Messages to the dispatcher from the threads of the usage ledger.

use dunlinspread_ledger::LineKind;
use dunlinspread_store::Progress;

/// A message about the usage ledger.
#[derive(Debug)]
pub enum UsageMessage {
    /// Progress of the store.
    StoreProgress(Progress),
    /// The export worker has a line to be appended.
    AppendEntry {
        /// The line's content.
        kind: LineKind,
        /// Comes back once the line is durable.
        tag: u64,
    },
    /// The lines before a number are not needed any more; the state that they imply is kept in their place.
    ReleaseLines {
        /// The first line that is kept.
        before: u64,
        /// The encoded state after all lines before it.
        state: Vec<u8>,
    },
    /// All periods up to now are to be closed. Success is told as
    /// [`ExportWorkerMessage::PeriodsClosed`](super::ExportWorkerMessage::PeriodsClosed), failure under the tag.
    ClosePeriods {
        /// The tag.
        tag: u64,
    },
}
