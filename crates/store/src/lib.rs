//! A log of records that survives crashes. It knows no request and no account: records are bytes, numbered from 1 and
//! kept in order, and a record that was once reported durable is there after any crash, or opening the log fails and
//! says which file is damaged where.
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
//! let (_log, recovery) = Log::open(disk, Options::new("n3"), |visit| {
//!     if let ReplayItem::Record(number, bytes) = visit { seen.push((number, bytes.to_vec())); }
//!     Ok(())
//! })?;
//! assert_eq!(seen, [(1, b"one".to_vec()), (2, b"two".to_vec())]);
//! assert_eq!(recovery.next_record, 3);
//! # Ok::<(), dunlinspread_store::StoreError>(())
//! ```
//!
//! [`Log`] is the log itself, for one owner that may wait. [`Writer`] puts it on a thread of its own and commits what
//! waits in groups, for owners that may never wait for a disk.
#![forbid(unsafe_code)]

mod disk;
mod error;
pub mod frame;
mod log;
mod recover;
#[cfg(feature = "sim")]
pub mod sim;
mod writer;

pub use disk::{Disk, DiskFile, RealDisk};
pub use error::{ReplayRejection, StoreError};
pub use log::{Log, Options, Recovery, ReplayItem, write_file_atomically};
pub use recover::TornTail;
pub use writer::{Progress, WriteFailure, Writer, WriterGauges, WriterOptions};
