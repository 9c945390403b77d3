//! Updates that a subscriber passes to its owner.

use crate::resource::{Change, Position};

/// Changes that come in force together, to be applied in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Position of the round server's settings after the update.
    pub position: Position,
    /// Changes, with each key at most once; they may exceed the limit of a transaction if a snapshot or the
    /// state on disk is applied.
    pub changes: Vec<Change>,
    /// Time at which the publisher accepted the last transaction of the update, Unix ms.
    pub published_unix_ms: u64,
}
