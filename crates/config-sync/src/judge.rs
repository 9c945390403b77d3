//! A round server's validation of changes before they come in force.

use crate::resource::Change;

/// Reason why a round server rejects changes, as text for operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Rejection {
    reason: String,
}

impl Rejection {
    /// Creates a rejection with this reason.
    pub fn new(reason: impl Into<String>) -> Rejection {
        Rejection { reason: reason.into() }
    }

    /// Returns the reason.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

/// Decides whether a round server can put changes in force.
pub trait Judge: Send {
    /// Checks whether `changes` can come in force together. If they are rejected, the previous settings stay
    /// in force.
    ///
    /// # Errors
    /// Returns a [`Rejection`] if the changes can't come in force.
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection>;
}
