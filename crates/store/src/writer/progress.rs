//! What a writer reports to its owner.

use crate::error::StoreError;
use std::sync::Arc;

/// Why a record or a snapshot was not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// The disk is full. It is not there, and may be appended again.
    NoSpace,
    /// An earlier record failed, and this one was not attempted. It is not there.
    NotAttempted,
    /// The disk failed, with this error. It is unknown whether it is there, and nothing more is written.
    Poisoned(Arc<str>),
}

impl WriteFailure {
    /// Returns the failure that an error of the log means.
    pub(super) fn of(error: &StoreError) -> WriteFailure {
        match error {
            StoreError::NoSpace { .. } => WriteFailure::NoSpace,
            error => WriteFailure::Poisoned(error.to_string().into()),
        }
    }
}

/// A report to the owner, made on the writer's thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// All records up to this ticket that were not reported before are durable.
    Durable {
        /// The last ticket.
        through: u64,
        /// The number that the store's next record gets.
        next: u64,
    },
    /// Records were not written. Nothing more is until [`crate::Writer::resume`].
    Failed {
        /// The first ticket.
        from: u64,
        /// The last ticket.
        through: u64,
        /// Why.
        reason: WriteFailure,
        /// The generation to resume with.
        generation: u64,
    },
    /// The snapshot of all records before a number was taken, or failed.
    Snapshot {
        /// That number.
        before: u64,
        /// Why it was not taken; `None` if it was.
        failure: Option<WriteFailure>,
    },
}
