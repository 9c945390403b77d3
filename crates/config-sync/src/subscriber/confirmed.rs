//! The whole confirmed state, for a store that is rewritten in place of all records so far.

use super::{PersistedState, Subscriber};

impl Subscriber {
    /// Returns the state that the owner confirmed as in force; `None` if a newer one is not confirmed yet.
    pub fn confirmed_state(&self) -> Option<PersistedState> {
        if self.applied != self.in_force.position {
            return None;
        }
        let mirror = self.in_force.stopped_at.as_ref().unwrap_or(self.follower.table());
        Some(self.in_force.to_persisted(mirror))
    }
}
