//! Errors that terminate the process.

use crate::config::ConfigError;
use crate::operator::{FleetKeyError, OperatorConfigError};
use crate::server::distributed_config::ApplyError;
use crate::server::supervisor::TaskFailure;
use crate::server::usage::UsageError;
use dunlinspread_handover::GiveUpReason;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reason why the process could not start or had to terminate.
#[derive(Debug, thiserror::Error)]
pub(super) enum DaemonError {
    /// No configuration file is specified.
    #[error("`RELAY_CONFIG`: is not set")]
    ConfigFileNotSet,
    /// The configuration file can't be read.
    #[error("`RELAY_CONFIG`: {}: {source}", path.display())]
    ReadConfigFile {
        /// Path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A key of the configuration file is missing or invalid.
    #[error("{}: {source}", path.display())]
    Config {
        /// Path of the file.
        path: PathBuf,
        /// The key and the reason why it is invalid.
        source: ConfigError,
    },
    /// The operator file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// Signal handling can't be set up.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// Listening on the client address failed.
    #[error("`listen`: {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// Listening on the control endpoint's address failed, or its thread can't be started.
    #[error("`control`: {address}: {source}")]
    Control {
        /// The address to listen on.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// Opening the usage ledger failed.
    #[error(transparent)]
    Ledger(#[from] UsageError),
    /// The platform lists more tenants than the operator file allows for distributed configuration.
    #[error("config_sync: `max_tenants`: is {max}, but the platform lists {listed} tenants")]
    TooManyTenants {
        /// Maximum number of tenants, from the operator file.
        max: usize,
        /// Number of tenants that the platform lists.
        listed: usize,
    },
    /// The fleet's key can't be read or has an invalid length.
    #[error(transparent)]
    FleetKey(#[from] FleetKeyError),
    /// Starting the subscriber of distributed configuration failed.
    #[error("config_sync: {0}")]
    Subscriber(io::Error),
    /// Applying the stored state of distributed configuration failed.
    #[error("config_sync: {0}")]
    StoredSettings(ApplyError),
    /// A task that should run as long as the process has failed.
    #[error(transparent)]
    Task(#[from] TaskFailure),
    /// A predecessor is serving, and the handover from it failed.
    #[error("handover: {0}")]
    Handover(GiveUpReason),
    /// All tasks have ended.
    #[error("all tasks have ended")]
    AllTasksEnded,
    /// The dispatcher's mailbox is closed.
    #[error("requesting the drain: the dispatcher has ended")]
    DispatcherGone,
}
