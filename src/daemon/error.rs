//! Errors that end the process.

use crate::config::ConfigError;
use crate::operator::{FleetKeyError, OperatorConfigError};
use crate::server::distributed_config::ApplyError;
use crate::server::supervisor::TaskFailure;
use crate::server::usage::UsageError;
use dunlinspread_handover::GiveUpReason;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the process could not start or had to end.
#[derive(Debug, thiserror::Error)]
pub(super) enum DaemonError {
    /// No configuration file is named.
    #[error("`RELAY_CONFIG`: is not set")]
    ConfigFileNotSet,
    /// The configuration file can't be read.
    #[error("`RELAY_CONFIG`: {}: {source}", path.display())]
    ReadConfigFile {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: io::Error,
    },
    /// A key of the configuration file is missing or can't be read.
    #[error("{}: {source}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: ConfigError,
    },
    /// The operator file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// Signals can't be handled.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The address for clients can't be listened on.
    #[error("`listen`: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What happened.
        source: io::Error,
    },
    /// The address for operators can't be listened on, or its thread can't be started.
    #[error("`control`: {address}: {source}")]
    Control {
        /// The address.
        address: SocketAddr,
        /// What happened.
        source: io::Error,
    },
    /// The usage ledger was not opened.
    #[error(transparent)]
    Ledger(#[from] UsageError),
    /// The platform lists more tenants than distributed configuration is allowed.
    #[error("config_sync: `max_tenants`: {max}, and the platform lists {listed}")]
    TooManyTenants {
        /// The most tenants, by the operator file.
        max: usize,
        /// Tenants that the platform lists.
        listed: usize,
    },
    /// The fleet's key can't be used.
    #[error(transparent)]
    FleetKey(#[from] FleetKeyError),
    /// The subscriber of distributed configuration was not started.
    #[error("config_sync: {0}")]
    Subscriber(io::Error),
    /// The stored state of distributed configuration was not applied.
    #[error("config_sync: {0}")]
    StoredSettings(ApplyError),
    /// A task failed that should last as long as the process.
    #[error(transparent)]
    Task(#[from] TaskFailure),
    /// A predecessor serves, and there will be no handover.
    #[error("handover: {0}")]
    Handover(GiveUpReason),
    /// All tasks have ended.
    #[error("all tasks have ended")]
    AllTasksEnded,
    /// The dispatcher takes no message.
    #[error("requesting the drain: the dispatcher has ended")]
    DispatcherGone,
}
