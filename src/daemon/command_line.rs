//! Parsing of the command line, and loading of the configuration files that it names.

use super::error::DaemonError;
use crate::config::{Config, ConfigFallbacks};
use crate::operator::{LogFormat, OperatorConfig};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Environment variable for the server's name, used if the configuration file has none.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Environment variable for the client address, used if the configuration file has none.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Environment variable for the control endpoint's address, used if the configuration file has none.
const CONTROL_VARIABLE: &str = "RELAY_CONTROL";

/// An admission and overload server: accepts requests from client proxies, runs them on the worker pool, and
/// rejects those that would not complete successfully.
#[derive(Parser)]
#[command(name = "dunlinspread", version, about)]
pub(super) struct CommandLine {
    #[command(subcommand)]
    pub(super) command: Option<Command>,
    #[command(flatten)]
    pub(super) files: ConfigFiles,
    /// Format of the log lines; overrides the operator file.
    #[arg(long, global = true, value_enum)]
    pub(super) log_format: Option<LogFormat>,
}

#[derive(Clone, Copy, Subcommand)]
pub(super) enum Command {
    /// Serve until SIGTERM or SIGINT (the default command).
    Serve,
    /// Read the platform file and the operator file, print the settings in force, and exit with 1 if one is
    /// invalid.
    Check,
}

/// Paths of the configuration files. They are read again on SIGHUP.
#[derive(Args, Clone)]
pub(super) struct ConfigFiles {
    /// The platform's configuration file, in JSON.
    #[arg(long, global = true, env = "RELAY_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator file, in HCL; without one, every subsystem that it configures is disabled.
    #[arg(long, global = true, env = "DUNLINSPREAD_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// The settings of all configuration files.
pub(super) struct LoadedConfig {
    /// The platform's configuration.
    pub(super) platform: Config,
    /// The operator file's settings.
    pub(super) operator: OperatorConfig,
}

impl ConfigFiles {
    /// Reads the configuration files.
    ///
    /// # Errors
    /// - [`DaemonError::ConfigFileNotSet`] if no platform configuration file is named.
    /// - [`DaemonError::ReadConfigFile`] if the platform configuration file can't be read.
    /// - [`DaemonError::Config`] if the platform configuration file is invalid.
    /// - [`DaemonError::Operator`] if the operator file can't be read or is invalid.
    pub(super) fn load(&self) -> Result<LoadedConfig, DaemonError> {
        let path = self.config.as_ref().ok_or(DaemonError::ConfigFileNotSet)?;
        let text = std::fs::read(path)
            .map_err(|source| DaemonError::ReadConfigFile { path: path.clone(), source })?;
        let fallbacks = ConfigFallbacks {
            name: std::env::var(NAME_VARIABLE).ok(),
            listen: std::env::var(LISTEN_VARIABLE).ok(),
            control: std::env::var(CONTROL_VARIABLE).ok(),
        };
        let platform = Config::read(&text, &fallbacks)
            .map_err(|source| DaemonError::Config { path: path.clone(), source })?;
        let operator = match &self.operator {
            Some(path) => OperatorConfig::load(path)?,
            None => OperatorConfig::default(),
        };
        Ok(LoadedConfig { platform, operator })
    }
}
