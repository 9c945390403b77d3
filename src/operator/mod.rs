//! The operator file: every setting that is the operators' own rather than the platform's, in HCL, one block a
//! subsystem. Without a file every subsystem is disabled, and the daemon behaves as its platform file says.
//!
//! A file is read and checked whole before any of it takes effect. An error names file, line, block and key.

mod config_sync;
mod duration;
mod error;
mod file;
mod ledger;
mod log;
mod source;

pub use config_sync::{ConfigSyncSettings, RelaySettings};
pub use error::{FleetKeyError, OperatorConfigError};
pub use file::OperatorConfig;
pub use ledger::{ExportTarget, LedgerConfig, PeerSettings};
pub use log::{LogFormat, LogLevel, LogSettings};
