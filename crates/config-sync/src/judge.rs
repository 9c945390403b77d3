//! The decision of a round server on changes before they come in force.

use crate::resource::Change;

/// Why a round server rejects changes, in words for the operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Rejection {
    reason: String,
}

impl Rejection {
    /// A rejection for this reason.
    pub fn new(reason: impl Into<String>) -> Rejection {
        Rejection { reason: reason.into() }
    }

    /// The reason.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

/// Says whether a round server can put changes in force.
pub trait Judge: Send {
    /// Nothing, or why these changes can't come in force together; the old settings stay then.
    ///
    /// # Errors
    /// If they are rejected.
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection>;
}
