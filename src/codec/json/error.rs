//! The error of a text that is no JSON.

/// Why a text is no JSON, and at which byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The byte, from 0.
    pub at: usize,
    /// What is wrong there.
    pub what: &'static str,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no JSON at byte {}: {}", self.at, self.what)
    }
}
