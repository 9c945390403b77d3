//! What a subscriber hands to its owner.

use crate::resource::{Change, Position};

/// Changes that come in force together, to be applied in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// What the server's settings are at once they are applied.
    pub position: Position,
    /// The changes, each key at most once; more than a transaction's where a snapshot or the state on disk is applied.
    pub changes: Vec<Change>,
    /// When the last transaction in it was accepted by the publisher, Unix ms.
    pub published_unix_ms: u64,
}
