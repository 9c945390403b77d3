//! The ids of requests, unique within the process and increasing over all its sources of requests.

use crate::admission::RequestId;
use std::cell::Cell;

/// Gives out ids, the first of which is 1.
#[derive(Debug, Default)]
pub struct RequestIdSequence {
    last: Cell<RequestId>,
}

impl RequestIdSequence {
    /// Returns the next id.
    pub fn next_id(&self) -> RequestId {
        let id = self.last.get() + 1;
        self.last.set(id);
        id
    }
}
