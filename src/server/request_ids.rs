//! Request ids, unique within the process and increasing over all sources of requests.

use crate::admission::RequestId;
use std::cell::Cell;

/// Generator of consecutive ids that start at 1.
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
