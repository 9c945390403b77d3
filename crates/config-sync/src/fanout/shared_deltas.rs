//! Sharing of delta messages between sessions.

use crate::message::ToClient;
use crate::resource::Position;
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};

/// Number of entries of [`SharedDeltas`] at which entries of dropped messages are removed.
const SHARED_DELTAS: usize = 1_024;

/// Delta messages that are still being sent, by their start position, so that sessions that start at the same
/// position share them. Keeps no message alive; bounded by the number of live messages plus
/// [`SHARED_DELTAS`].
#[derive(Debug, Default)]
pub(super) struct SharedDeltas {
    messages: BTreeMap<Position, Weak<ToClient>>,
}

impl SharedDeltas {
    pub(super) fn get(&self, from: Position) -> Option<Arc<ToClient>> {
        self.messages.get(&from)?.upgrade()
    }

    pub(super) fn remember(&mut self, from: Position, message: &Arc<ToClient>) {
        if self.messages.len() >= SHARED_DELTAS {
            self.messages.retain(|_, message| message.strong_count() > 0);
        }
        self.messages.insert(from, Arc::downgrade(message));
    }

    pub(super) fn clear(&mut self) {
        self.messages.clear();
    }
}
