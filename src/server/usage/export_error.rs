//! Errors of the export worker.

use super::export_transport::TransportError;
use dunlinspread_ledger::LineError;
use dunlinspread_ledger::export_protocol::BatchPending;
use dunlinspread_store::StoreError;
use std::io;
use std::path::PathBuf;

/// Why the export worker stops what it does.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExportError {
    /// The program ends.
    #[error("the program is shutting down")]
    ShuttingDown,
    /// This can't be done now, and is tried again later.
    #[error(transparent)]
    Retryable(#[from] RetryableError),
}

/// Why something can't be done now.
#[derive(Debug, thiserror::Error)]
pub(super) enum RetryableError {
    /// The ledger's store can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The exchange with the collector failed.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The folder of operators' requests can't be used.
    #[error(transparent)]
    Requests(#[from] io::Error),
    /// A line contradicts those before it.
    #[error(transparent)]
    Line(#[from] LineError),
    /// A second batch was prepared.
    #[error(transparent)]
    BatchPending(#[from] BatchPending),
    /// The ledger did not append a line.
    #[error("the ledger does not take this line now")]
    EntryRejected,
    /// The sender has a batch of which nothing is known here.
    #[error("no batch is prepared")]
    NoPreparedBatch,
    /// The lines give another batch than when it was prepared.
    #[error("a batch differs from what was prepared")]
    BatchDiffers,
    /// The collector replied, and did not accept the batch that was offered.
    #[error("the collector is at batch {0}")]
    CollectorBehind(u64),
    /// The next close line is not among the lines.
    #[error("the close line is not there")]
    CloseMissing,
    /// The close has fewer batches than were exported of it.
    #[error("the close has no such part")]
    PartMissing,
}

impl From<StoreError> for ExportError {
    fn from(error: StoreError) -> ExportError {
        ExportError::Retryable(error.into())
    }
}

impl From<TransportError> for ExportError {
    fn from(error: TransportError) -> ExportError {
        ExportError::Retryable(error.into())
    }
}

impl From<io::Error> for ExportError {
    fn from(error: io::Error) -> ExportError {
        ExportError::Retryable(error.into())
    }
}

impl From<LineError> for ExportError {
    fn from(error: LineError) -> ExportError {
        ExportError::Retryable(error.into())
    }
}

impl From<BatchPending> for ExportError {
    fn from(error: BatchPending) -> ExportError {
        ExportError::Retryable(error.into())
    }
}

/// Why the export worker was not started.
#[derive(Debug, thiserror::Error)]
pub(super) enum WorkerStartError {
    /// The ledger's directory can't be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The folder of operators' requests can't be made.
    #[error("{}: {source}", path.display())]
    RequestsFolder {
        /// The folder.
        path: PathBuf,
        /// What happened.
        source: io::Error,
    },
}
