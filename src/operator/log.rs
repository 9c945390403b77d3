//! The block `log`: the form of the daemon's log lines and the least important ones written.

use serde::Deserialize;

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least important lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only failures that need someone.
    Error,
    /// Those, and what may need someone.
    Warning,
    /// Those, and changes of state.
    #[default]
    Info,
}

/// The block `log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The form of the lines; `--log-format` overrides it.
    pub format: LogFormat,
    /// The least important lines written.
    pub level: LogLevel,
}
