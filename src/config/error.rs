//! The error of an invalid configuration.

/// A key that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}`: {reason}")]
pub struct ConfigError {
    /// Path of the key.
    pub key: String,
    /// Reason why the key or its value is invalid.
    pub reason: String,
}

impl ConfigError {
    /// Returns an error for a key.
    pub(super) fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        ConfigError { key: key.into(), reason: reason.into() }
    }

    /// Returns the error for a missing key.
    pub(super) fn missing(key: impl Into<String>) -> Self {
        ConfigError::new(key, "is missing")
    }

    /// Returns the error for a value that can't be parsed.
    pub(super) fn unreadable(key: impl Into<String>, value: &str) -> Self {
        ConfigError::new(key, format!("can't be read: {value}"))
    }

    /// Returns the same error with `object` prepended to the key's path.
    pub(super) fn within(self, object: &str) -> Self {
        ConfigError { key: format!("{object}.{}", self.key), reason: self.reason }
    }
}
