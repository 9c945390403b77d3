//! The decision of a round server on changes before they come in force.

use crate::resource::Change;

/// Says whether a round server can put changes in force.
pub trait Judge: Send {
    /// Nothing, or why these changes can't come in force together; the old settings stay then.
    ///
    /// # Errors
    /// The reason, for the operators.
    fn judge(&self, changes: &[Change]) -> Result<(), String>;
}
