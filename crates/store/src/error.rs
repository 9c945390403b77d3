//! What can go wrong with a store, told so that an operator knows the file and what to do.

use std::fmt;
use std::io;

/// Why a store did not do what it was asked to.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The system gave an error.
    #[error("{operation} {file}: {source}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file.
        file: String,
        /// What came of it.
        source: io::Error,
    },
    /// Another process has the directory open.
    #[error(
        "{directory} is in use by {holder}: two processes on one store would destroy it; stop the other one"
    )]
    Locked {
        /// The directory.
        directory: String,
        /// The other process, as it named itself.
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
    /// A file that the log needs is not there.
    #[error("records {expected} to {found} are missing before {file}: a file of the store was lost", found = found - 1)]
    Gap {
        /// The file after the gap.
        file: String,
        /// The first record that is missing.
        expected: u64,
        /// The first record that is there again.
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
    /// The store is another server's.
    #[error("{file}: belongs to `{found}`, not to `{expected}`: check the directory that the settings name")]
    Owner {
        /// The file.
        file: String,
        /// Whose it is.
        found: String,
        /// Who opened it.
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
    /// The disk is full. What was to be written is not there; the log goes on once there is room.
    #[error("no space left for {file}")]
    NoSpace {
        /// The file that was written to.
        file: String,
    },
    /// An earlier error left it unknown what is durable; nothing is claimed to be any more. Open the store anew.
    #[error("the log is closed to writing since: {cause}")]
    Poisoned {
        /// The error.
        cause: String,
    },
    /// The visitor of [`crate::Log::open`] did not accept a record.
    #[error("{file}: record {number}: {reason}")]
    Rejected {
        /// The file.
        file: String,
        /// The record's number.
        number: u64,
        /// Why.
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
    /// Wraps an error of the system; a full disk has a kind of its own.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> StoreError {
        let file = file.to_owned();
        move |source| match source.kind() {
            // A limit on the size of files is lifted as a full disk is emptied.
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                StoreError::NoSpace { file }
            }
            _ => StoreError::Io { operation, file, source },
        }
    }
}
