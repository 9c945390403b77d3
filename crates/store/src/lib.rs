//! A crash-safe log of records. Records are byte strings, numbered from 1 and kept in order. A record that
//! was reported durable is still in the log after any crash; otherwise opening the log fails with an error
//! that names the file and where it is damaged or incomplete.
//!
//! ```
//! use dunlinspread_store::{Log, Options, RealDisk, ReplayItem};
//! use std::sync::Arc;
//!
//! # let folder = tempfile::tempdir().unwrap();
//! let disk = Arc::new(RealDisk::new(folder.path())?);
//! let (mut log, _) = Log::open(disk.clone(), Options::new("n3"), |_| Ok(()))?;
//! log.commit(&[b"one".to_vec(), b"two".to_vec()])?;
//! drop(log);
//!
//! let mut seen = Vec::new();
//! let (_log, recovery) = Log::open(disk, Options::new("n3"), |item| {
//!     if let ReplayItem::Record(number, bytes) = item { seen.push((number, bytes.to_vec())); }
//!     Ok(())
//! })?;
//! assert_eq!(seen, [(1, b"one".to_vec()), (2, b"two".to_vec())]);
//! assert_eq!(recovery.next_record, 3);
//! # Ok::<(), dunlinspread_store::StoreError>(())
//! ```
//!
//! [`Log`] is the log itself, for a single owner that may block on the disk. [`Writer`] runs a log on its own
//! thread with group commit, for owners that must not block.
#![forbid(unsafe_code)]

mod atomic_file;
mod directory_lock;
mod disk;
mod error;
pub mod format;
mod log;
mod open_segment;
mod options;
mod range_read;
mod real_disk;
mod recovery;
mod replay;
mod segment_scan;
#[cfg(feature = "sim")]
pub mod sim;
mod store_files;
mod writer;

pub use atomic_file::write_file_atomically;
pub use disk::{Disk, DiskFile};
pub use error::{ReplayRejection, StoreError};
pub use log::Log;
pub use options::Options;
pub use real_disk::RealDisk;
pub use recovery::{Recovery, ReplayItem, TornTail};
pub use writer::{PanicPayload, Progress, WriteFailure, Writer, WriterGauges, WriterOptions};
