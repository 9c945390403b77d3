//! The whole state for a store that begins anew, in place of all records so far.

use super::{PersistedState, Subscriber};

impl Subscriber {
    /// The state that the owner confirmed in force, if nothing newer waits to be confirmed.
    pub fn confirmed_state(&self) -> Option<PersistedState> {
        if self.applied != self.in_force.position {
            return None;
        }
        let mirror = self.in_force.stopped_at.as_ref().unwrap_or(self.follower.table());
        Some(self.in_force.to_persisted(mirror))
    }
}
