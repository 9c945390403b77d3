//! Errors of an operator file.

use std::borrow::Cow;
use std::fmt;
use std::io;

/// An error in an operator file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct OperatorConfigError {
    /// Path of the file, as it was specified.
    pub file: String,
    /// Number of the line, from 1, if known.
    pub line: Option<usize>,
    /// Block with its label, if the error is in a block.
    pub block: Option<String>,
    /// Key to which the error applies, if any.
    pub key: Option<String>,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(block) = &self.block {
            write!(f, ": {block}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": `{key}`")?;
        }
        write!(f, ": {}", self.reason)
    }
}

/// An error of one key of a block, without the block's location in the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}`: {reason}")]
pub(super) struct KeyError {
    /// Path of the key within the block.
    pub(super) key: Cow<'static, str>,
    /// Description of the error.
    pub(super) reason: String,
}

impl KeyError {
    /// Returns an error for a key.
    pub(super) fn new(key: impl Into<Cow<'static, str>>, reason: impl Into<String>) -> KeyError {
        KeyError { key: key.into(), reason: reason.into() }
    }
}

/// Reason why the fleet's key can't be used. The error message never contains the key itself.
#[derive(Debug, thiserror::Error)]
pub enum FleetKeyError {
    /// The file can't be read.
    #[error("config_sync: `key_file`: {file}: can't be read: {source}")]
    Read {
        /// Path of the file that holds the key.
        file: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The key is too short or too long.
    #[error("config_sync: `key_file`: {file}: expected a key of {shortest} to {longest} bytes")]
    Length {
        /// Path of the file that holds the key.
        file: String,
        /// Minimum length of the key, bytes.
        shortest: usize,
        /// Maximum length of the key, bytes.
        longest: usize,
    },
}
