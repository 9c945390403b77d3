//! Requests that wait for another process, found by their number and in the order in which they fall due.

use crate::admission::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// A time as it is ordered, whole Unix ms.
type DueMs = u64;

/// What is kept of a request.
struct Waiting<T> {
    due_ms: DueMs,
    value: T,
}

/// The requests that wait, each with a value.
///
/// # Invariants
/// Each request stands in both orders.
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
    /// Adds a request that is due at `due_at`, Unix ms. Its number is new.
    pub(super) fn insert(&mut self, id: RequestId, due_at: f64, value: T) {
        let due_ms = whole_ms(due_at);
        self.by_due_time.insert((due_ms, id));
        self.by_id.insert(id, Waiting { due_ms, value });
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<T> {
        let Waiting { due_ms, value } = self.by_id.remove(&id)?;
        self.by_due_time.remove(&(due_ms, id));
        Some(value)
    }

    /// Removes the request that is due first, if that is by `time`, Unix ms.
    pub(super) fn take_due_by(&mut self, time: f64) -> Option<(RequestId, T)> {
        let (due_ms, id) = *self.by_due_time.first()?;
        if due_ms > whole_ms(time) {
            return None;
        }
        self.remove(id).map(|value| (id, value))
    }

    /// Removes all requests, and returns them in the order of their numbers.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = T> + use<T> {
        self.by_due_time.clear();
        std::mem::take(&mut self.by_id).into_values().map(|waiting| waiting.value)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// Returns a time in whole ms, rounded down; one before 1970 counts as 0.
fn whole_ms(time: f64) -> DueMs {
    time as DueMs
}
