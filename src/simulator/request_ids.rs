//! The request ids of an instance: the simulator's texts and the controller's numbers.

use crate::admission::RequestId;
use std::collections::HashMap;

/// The ids of one instance, numbered in the order in which they were first named.
#[derive(Default)]
pub(super) struct RequestIds {
    ids: HashMap<String, RequestId>,
    names: Vec<String>,
}

impl RequestIds {
    /// Returns the number of a request, a new one for a new name.
    pub(super) fn id(&mut self, name: &str) -> RequestId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as RequestId;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// Returns the name of a request; empty if there is none.
    pub(super) fn name(&self, id: RequestId) -> &str {
        self.names.get(id as usize).map_or("", String::as_str)
    }
}
