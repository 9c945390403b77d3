//! The command line, and the files that it names.

use super::error::DaemonError;
use crate::config::{Config, ConfigFallbacks};
use crate::operator::{LogFormat, OperatorConfig};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Environment variable of the server's name, where the configuration file has none.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Environment variable of the address for clients, where the configuration file has none.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Environment variable of the address for operators, where the configuration file has none.
const CONTROL_VARIABLE: &str = "RELAY_CONTROL";

/// A round server: takes requests from client proxies, has the worker pool run them, and turns away what would come to
/// nothing.
#[derive(Parser)]
#[command(name = "dunlinspread", version, about)]
pub(super) struct CommandLine {
    #[command(subcommand)]
    pub(super) command: Option<Command>,
    #[command(flatten)]
    pub(super) files: ConfigFiles,
    /// The form of the log's lines; overrides the operator file.
    #[arg(long, global = true, value_enum)]
    pub(super) log_format: Option<LogFormat>,
}

#[derive(Clone, Copy, Subcommand)]
pub(super) enum Command {
    /// Serve until SIGTERM; what the program does with no command.
    Serve,
    /// Read the platform file and the operator file, print what is in force, and end with 1 if one is faulty.
    Check,
}

/// Where settings come from. They are read again on SIGHUP.
#[derive(Args, Clone)]
pub(super) struct ConfigFiles {
    /// The platform's configuration, as JSON.
    #[arg(long, global = true, env = "RELAY_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator file, as HCL; without one, all that it could switch on is off.
    #[arg(long, global = true, env = "DUNLINSPREAD_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// The settings of all files.
pub(super) struct LoadedConfig {
    /// The platform's.
    pub(super) platform: Config,
    /// The operators'.
    pub(super) operator: OperatorConfig,
}

impl ConfigFiles {
    /// Reads the files.
    ///
    /// # Errors
    /// If a file can't be read or is invalid.
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
