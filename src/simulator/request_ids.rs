//! The mapping between the simulator's textual request ids and the controller's numeric ones.

use crate::admission::RequestId;
use std::collections::HashMap;

/// The request ids of one instance, numbered in the order in which they first occurred.
#[derive(Default)]
pub(super) struct RequestIds {
    ids: HashMap<String, RequestId>,
    names: Vec<String>,
}

impl RequestIds {
    /// Returns the numeric id of a request, and assigns the next one to a new name.
    pub(super) fn id(&mut self, name: &str) -> RequestId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as RequestId;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// Returns the textual id of a request, or an empty text if the request is unknown.
    pub(super) fn name(&self, id: RequestId) -> &str {
        self.names.get(id as usize).map_or("", String::as_str)
    }
}
