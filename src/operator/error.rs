//! Errors of an operator file.

use std::borrow::Cow;
use std::fmt;
use std::io;

/// What is wrong in an operator file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct OperatorConfigError {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The block with its label, if the error is in one.
    pub block: Option<String>,
    /// The key, if the error is one key's.
    pub key: Option<String>,
    /// What is wrong.
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

/// What is wrong with one key of a block, before the block's place in the file is known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}`: {reason}")]
pub(super) struct KeyError {
    /// The key, as a path within the block.
    pub(super) key: Cow<'static, str>,
    /// What is wrong.
    pub(super) reason: String,
}

impl KeyError {
    /// Returns the error of a key.
    pub(super) fn new(key: impl Into<Cow<'static, str>>, reason: impl Into<String>) -> KeyError {
        KeyError { key: key.into(), reason: reason.into() }
    }
}

/// Why the fleet's key can't be used. The key itself is never part of the text.
#[derive(Debug, thiserror::Error)]
pub enum FleetKeyError {
    /// The file can't be read.
    #[error("config_sync: `key_file`: {file}: can't be read: {source}")]
    Read {
        /// The file that holds the key.
        file: String,
        /// What happened.
        source: io::Error,
    },
    /// The key is too short or too long.
    #[error("config_sync: `key_file`: {file}: wanted a key of {shortest} to {longest} bytes")]
    Length {
        /// The file that holds the key.
        file: String,
        /// The shortest key, in bytes.
        shortest: usize,
        /// The longest key, in bytes.
        longest: usize,
    },
}
