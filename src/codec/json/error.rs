//! Error of the JSON parser.

/// Reason why a text is not valid JSON, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid JSON at byte {offset}: {reason}")]
pub struct Error {
    /// Byte offset of the error, from 0.
    pub offset: usize,
    /// Description of the error.
    pub reason: &'static str,
}
