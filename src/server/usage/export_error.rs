//! Errors of the export worker.

use super::export_transport::TransportError;
use dunlinspread_ledger::LineError;
use dunlinspread_ledger::export_protocol::BatchPending;
use dunlinspread_store::StoreError;
use std::io;
use std::path::PathBuf;

/// Error that ends the current step of the export worker.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExportError {
    /// The process is shutting down.
    #[error("the process is shutting down")]
    ShuttingDown,
    /// The step failed and is retried later.
    #[error(transparent)]
    Retryable(#[from] RetryableError),
}

/// Error after which the export worker retries the step.
#[derive(Debug, thiserror::Error)]
pub(super) enum RetryableError {
    /// The ledger's store can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The exchange with the collector failed.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The directory of operator requests can't be read, or an executed request can't be removed.
    #[error(transparent)]
    Requests(#[from] io::Error),
    /// A line contradicts the lines before it.
    #[error(transparent)]
    Line(#[from] LineError),
    /// A batch was prepared while another one is not acknowledged.
    #[error(transparent)]
    BatchPending(#[from] BatchPending),
    /// The ledger rejected a line that was to be appended.
    #[error("the ledger rejected the line")]
    EntryRejected,
    /// The protocol's sender has a batch to send, but the exporter has no prepared batch.
    #[error("no batch is prepared")]
    NoPreparedBatch,
    /// The batch rebuilt from the ledger's lines differs from the prepared one.
    #[error("the rebuilt batch differs from the prepared one")]
    BatchDiffers,
    /// The collector replied without accepting the offered batch. Holds the collector's watermark.
    #[error("the collector did not accept the batch: its watermark is {0}")]
    CollectorBehind(u64),
    /// The next close line to be exported is not in the ledger.
    #[error("the ledger has no close line after the last exported one")]
    CloseMissing,
    /// The next batch of a close line does not exist, although the last one was not exported yet.
    #[error("the close line has no batch after the exported ones")]
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

/// Error of starting the export worker.
#[derive(Debug, thiserror::Error)]
pub(super) enum WorkerStartError {
    /// The ledger's directory can't be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The directory of operator requests can't be created.
    #[error("cannot create directory {}: {source}", path.display())]
    RequestsFolder {
        /// Path of the directory.
        path: PathBuf,
        /// The operating system error.
        source: io::Error,
    },
}
