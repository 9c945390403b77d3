//! Reports of a writer to its owner.

use crate::error::StoreError;
use std::sync::Arc;

/// The reason why records or a snapshot were not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// The disk is full. Nothing was written, and the write may be retried.
    NoSpace,
    /// An earlier record failed, so this record was not attempted and is not in the log.
    NotAttempted,
    /// The write failed with the given error. It is unknown whether the data was written, and nothing more is
    /// written.
    Poisoned(Arc<str>),
}

impl WriteFailure {
    /// Returns the failure that corresponds to an error of the log.
    pub(super) fn of(error: &StoreError) -> WriteFailure {
        match error {
            StoreError::NoSpace { .. } => WriteFailure::NoSpace,
            error => WriteFailure::Poisoned(error.to_string().into()),
        }
    }
}

/// A report to the owner, delivered on the writer's thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// All records up to the given ticket that were not reported earlier are durable.
    Durable {
        /// Ticket of the last durable record.
        through: u64,
        /// Number that the store's next record will get.
        next: u64,
    },
    /// Records were not written. Nothing more is written until [`crate::Writer::resume`] is called.
    Failed {
        /// Ticket of the first failed record.
        from: u64,
        /// Ticket of the last failed record.
        through: u64,
        /// Reason for the failure.
        reason: WriteFailure,
        /// Generation to pass to [`crate::Writer::resume`].
        generation: u64,
    },
    /// A snapshot was taken or failed.
    Snapshot {
        /// Number of the first record that the snapshot does not replace.
        before: u64,
        /// Reason for the failure, or `None` if the snapshot was taken.
        failure: Option<WriteFailure>,
    },
}
