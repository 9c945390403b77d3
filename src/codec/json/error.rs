//! The error of a text that is no JSON.

/// Why a text is no JSON, and at which byte.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no JSON at byte {at}: {what}")]
pub struct Error {
    /// The byte, from 0.
    pub at: usize,
    /// What is wrong there.
    pub what: &'static str,
}
