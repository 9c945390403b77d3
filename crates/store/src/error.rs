//! Errors of a store. Each message names the file and the failure and, where useful, what the operator can
//! do.

use std::fmt;
use std::io;

/// The error of a failed operation on a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operating system call failed.
    #[error("{operation} {file}: {source}")]
    Io {
        /// The failed operation, such as `syncing`.
        operation: &'static str,
        /// The file or directory.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the directory.
    #[error(
        "{directory} is in use by {holder}: two processes on one store would destroy it; stop the other one"
    )]
    Locked {
        /// The directory.
        directory: String,
        /// The other process, as identified in the lock file.
        holder: String,
    },
    /// Data that had been durable differs from what was written. The store was left unchanged.
    #[error(
        "{file}: damaged at byte {offset}: {fault}; durable data may follow, so the file was not truncated: \
             restore the file from a copy, or move the store away and account for the records it held"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Offset of the first damaged byte.
        offset: u64,
        /// Description of the damage.
        fault: String,
    },
    /// A file that the log needs is missing.
    #[error(
        "records {expected} to {last} are missing before {file}: a file of the store was lost",
        last = found - 1
    )]
    Gap {
        /// The file after the gap.
        file: String,
        /// Number of the first missing record.
        expected: u64,
        /// Number of the first record after the gap.
        found: u64,
    },
    /// The file was written by a newer version of the program.
    #[error("{file}: format version {found} is not supported; this program reads versions up to {newest}")]
    Version {
        /// The file.
        file: String,
        /// Format version of the file.
        found: u32,
        /// Newest version that this program reads.
        newest: u32,
    },
    /// The store belongs to another owner.
    #[error("{file}: belongs to `{found}`, not to `{expected}`: check the directory that the settings name")]
    Owner {
        /// The file.
        file: String,
        /// Owner named in the file.
        found: String,
        /// Owner that opened the store.
        expected: String,
    },
    /// A record is longer than the options allow, or a commit is longer than a frame can be.
    #[error("a record or commit of {len} bytes exceeds the limit of {max} bytes")]
    TooLarge {
        /// Length of the record or commit, in bytes.
        len: usize,
        /// Maximum length, in bytes.
        max: usize,
    },
    /// The disk is full. The data was not written; the log can continue once there is space.
    #[error("no space left for {file}")]
    NoSpace {
        /// The file that was being written.
        file: String,
    },
    /// An earlier error left it unknown which data is durable, so nothing more is reported durable until the
    /// store is opened again.
    #[error("the log is closed to writing because of an earlier error: {cause}")]
    Poisoned {
        /// The earlier error.
        cause: String,
    },
    /// The visitor rejected a record or a snapshot.
    #[error("{file}: record {number}: {reason}")]
    Rejected {
        /// The file.
        file: String,
        /// Number of the record, or of the first record after the snapshot.
        number: u64,
        /// The visitor's reason.
        reason: ReplayRejection,
    },
}

/// The reason why a visitor rejected an item.
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
    /// Returns a function that converts an I/O error into [`StoreError::Io`], or into [`StoreError::NoSpace`]
    /// if the disk is full or a size limit was reached.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> StoreError {
        let file = file.to_owned();
        move |source| match source.kind() {
            // Quotas and file size limits count as a full disk: an operator can raise them, as they can free
            // disk space.
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                StoreError::NoSpace { file }
            }
            _ => StoreError::Io { operation, file, source },
        }
    }
}
