//! The operator file: all settings that operators rather than the platform control, in HCL, with one block
//! per subsystem. Without a file every subsystem is disabled, and the daemon uses only the platform's
//! configuration.
//!
//! A file is read and validated as a whole before any of it takes effect. An error names file, line, block
//! and key.

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
