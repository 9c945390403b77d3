//! The error of a faulty configuration.

/// A key that is missing or whose value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}`: {reason}")]
pub struct ConfigError {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl ConfigError {
    /// Returns the error of a key.
    pub(super) fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        ConfigError { key: key.into(), reason: reason.into() }
    }

    /// Returns the error of a key that is missing.
    pub(super) fn missing(key: impl Into<String>) -> Self {
        ConfigError::new(key, "is missing")
    }

    /// Returns the error of a value that can't be read.
    pub(super) fn unreadable(key: impl Into<String>, value: &str) -> Self {
        ConfigError::new(key, format!("can't be read: {value}"))
    }

    /// Returns the same error, its key within an object of this name.
    pub(super) fn within(self, object: &str) -> Self {
        ConfigError { key: format!("{object}.{}", self.key), reason: self.reason }
    }
}
