//! Requests that wait for another process, indexed by request id and by due time.

use crate::admission::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// A due time in whole Unix ms, which has a total order.
type DueMs = u64;

/// A waiting request's due time and value.
struct Waiting<T> {
    due_ms: DueMs,
    value: T,
}

/// Waiting requests, each with a value.
///
/// # Invariants
/// Each request is in both indexes.
pub(super) struct WaitingRequests<T> {
    by_id: BTreeMap<RequestId, Waiting<T>>,
    by_due_time: BTreeSet<(DueMs, RequestId)>,
}

impl<T> Default for WaitingRequests<T> {
    fn default() -> Self {
        WaitingRequests { by_id: BTreeMap::new(), by_due_time: BTreeSet::new() }
    }
}

impl<T> WaitingRequests<T> {
    /// Adds a request that is due at `due_at`, Unix ms. The id must not be in use.
    pub(super) fn insert(&mut self, id: RequestId, due_at: f64, value: T) {
        let due_ms = whole_ms(due_at);
        self.by_due_time.insert((due_ms, id));
        self.by_id.insert(id, Waiting { due_ms, value });
    }

    /// Removes a request, and returns its value.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<T> {
        let Waiting { due_ms, value } = self.by_id.remove(&id)?;
        self.by_due_time.remove(&(due_ms, id));
        Some(value)
    }

    /// Removes and returns the request with the earliest due time, if it is due by `time`, Unix ms.
    pub(super) fn take_due_by(&mut self, time: f64) -> Option<(RequestId, T)> {
        let (due_ms, id) = *self.by_due_time.first()?;
        if due_ms > whole_ms(time) {
            return None;
        }
        self.remove(id).map(|value| (id, value))
    }

    /// Removes all requests, and returns their values in the order of the request ids.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = T> + use<T> {
        self.by_due_time.clear();
        std::mem::take(&mut self.by_id).into_values().map(|waiting| waiting.value)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// Returns a time in whole ms, rounded down. A time before 1970 becomes 0.
fn whole_ms(time: f64) -> DueMs {
    time as DueMs
}
