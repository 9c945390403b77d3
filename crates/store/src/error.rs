//! Errors of a store. Each names the file, what happened, and where it helps what to do.

use std::fmt;
use std::io;

/// Why an operation on a store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation of the system failed.
    #[error("{operation} {file}: {source}")]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file or directory.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// Another process has the directory locked.
    #[error(
        "{directory} is in use by {holder}: two processes on one store would destroy it; stop the other one"
    )]
    Locked {
        /// The directory.
        directory: String,
        /// The other process, as it names itself in the lock file.
        holder: String,
    },
    /// Bytes that had been durable are not what was written. Nothing was changed.
    #[error(
        "{file}: damaged at byte {offset}: {fault}; what follows is intact or unknown, so nothing is cut: restore \
             the file from a copy, or move the store away and account for what it held"
    )]
    Damaged {
        /// The file.
        file: String,
        /// The first byte that is wrong.
        offset: u64,
        /// What is wrong with it.
        fault: String,
    },
    /// A file that the log needs is missing.
    #[error("records {expected} to {found} are missing before {file}: a file of the store was lost", found = found - 1)]
    Gap {
        /// The file after the gap.
        file: String,
        /// The first record that is missing.
        expected: u64,
        /// The first record that is there after the gap.
        found: u64,
    },
    /// The file was written by a newer program.
    #[error("{file}: format version {found} is not known here; this program reads up to {newest}")]
    Version {
        /// The file.
        file: String,
        /// Its version.
        found: u32,
        /// The newest version that is read.
        newest: u32,
    },
    /// The store belongs to another owner.
    #[error("{file}: belongs to `{found}`, not to `{expected}`: check the directory that the settings name")]
    Owner {
        /// The file.
        file: String,
        /// The owner that the file names.
        found: String,
        /// The owner that opened it.
        expected: String,
    },
    /// A record is longer than the options allow.
    #[error("a record of {len} bytes is over the limit of {max}")]
    TooLarge {
        /// Its length.
        len: usize,
        /// The limit.
        max: usize,
    },
    /// The disk is full. What was to be written is not there; the log can go on once there is room.
    #[error("no space left for {file}")]
    NoSpace {
        /// The file that was written to.
        file: String,
    },
    /// An earlier error left it unknown what is durable, so nothing is reported durable any more until the store is opened
    /// again.
    #[error("the log is closed to writing since: {cause}")]
    Poisoned {
        /// The earlier error.
        cause: String,
    },
    /// The visitor of [`crate::Log::open`] did not accept a record.
    #[error("{file}: record {number}: {reason}")]
    Rejected {
        /// The file.
        file: String,
        /// The record's number.
        number: u64,
        /// The visitor's reason.
        reason: ReplayRejection,
    },
}

/// The reason for which a replay visitor did not accept an item.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ReplayRejection(String);

impl ReplayRejection {
    /// Returns a rejection that carries the text of `reason`, usually the visitor's own error.
    pub fn new(reason: impl fmt::Display) -> ReplayRejection {
        ReplayRejection(reason.to_string())
    }
}

impl From<String> for ReplayRejection {
    fn from(reason: String) -> ReplayRejection {
        ReplayRejection(reason)
    }
}

impl StoreError {
    /// Returns a function that wraps an error of the system in [`StoreError::Io`], or in [`StoreError::NoSpace`] for a full
    /// disk.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> StoreError {
        let file = file.to_owned();
        move |source| match source.kind() {
            // Limits on a user's or a file's size can be lifted, as a full disk can be emptied.
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                StoreError::NoSpace { file }
            }
            _ => StoreError::Io { operation, file, source },
        }
    }
}
