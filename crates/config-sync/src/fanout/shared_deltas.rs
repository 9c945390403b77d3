//! Messages of deltas that several sessions are sent.

use crate::message::ToClient;
use crate::resource::Position;
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};

/// Entries of [`SharedDeltas`] after which those of messages that nobody holds any more are cleared away.
const SHARED_DELTAS: usize = 1_024;

/// Messages of deltas that are still on their way to someone, by the position that they start from, so that many
/// sessions that begin at the same position share them. Holds no message alive; bounded by those alive, and by
/// [`SHARED_DELTAS`] beside them.
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
