//! The block `log`: format and minimum level of the daemon's log lines.

use serde::Deserialize;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum level of the lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only failures that require operator action.
    Error,
    /// Errors, and conditions that may require operator action.
    Warning,
    /// Errors, warnings, and changes of state.
    #[default]
    Info,
}

/// The block `log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the lines; `--log-format` overrides it.
    pub format: LogFormat,
    /// Minimum level of the lines that are written.
    pub level: LogLevel,
}
