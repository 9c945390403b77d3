//! Reservations of idempotency keys, and of reads whose result may be reused.
//!
//! # Invariants
//! The idempotency key of a request is reserved before the request runs, for the key window, which begins at
//! the request's arrival.

use super::action::Action;
use super::event::RequestId;
use super::settings::{Class, RetrySafety, Settings};
use super::sort_key::SortKey;
use std::collections::{BTreeMap, BTreeSet};

/// Shortest duration of a reservation, ms.
const MIN_TTL_MS: f64 = 1.0;
/// Time by which a reservation outlasts its window in addition to two ticks, ms.
const TTL_SLACK_MS: f64 = 1.0;

/// The reservations, by request.
pub(super) struct IdempotencyReservations {
    tick_ms: f64,
    shared_result_ttl_ms: f64,
    expires_at: BTreeMap<RequestId, f64>,
    /// The reservations, ordered by the time at which they expire.
    expiries: BTreeSet<(SortKey, RequestId)>,
}

impl IdempotencyReservations {
    /// Creates an empty table.
    pub(super) fn new(settings: &Settings) -> IdempotencyReservations {
        IdempotencyReservations {
            tick_ms: settings.tick_ms,
            shared_result_ttl_ms: settings.shared_result_ttl_ms,
            expires_at: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Returns the number of reservations.
    pub(super) fn len(&self) -> usize {
        self.expires_at.len()
    }

    /// Returns whether the request has a reservation.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.expires_at.contains_key(&id)
    }

    /// Returns whether reads of the same subject may share a result.
    pub(super) fn shares_results(&self) -> bool {
        self.shared_result_ttl_ms > 0.0
    }

    /// Reserves the key of a request that arrived at `arrived_at`, or a shareable read for the client timeout
    /// of its class.
    pub(super) fn reserve(&mut self, now: f64, id: RequestId, arrived_at: f64, class: &Class) -> Action {
        let window_ms = if class.retry_safety == RetrySafety::IdempotencyKey {
            class.key_window_ms
        } else {
            class.client_timeout_ms
        };
        let until = arrived_at + window_ms + 2.0 * self.tick_ms + TTL_SLACK_MS;
        let ttl_ms = (until - now).max(MIN_TTL_MS);
        self.set_expiry(id, now + ttl_ms);
        Action::ReserveKey { id, ttl_ms }
    }

    /// Removes a reservation and returns whether there was one.
    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        let Some(expires_at) = self.expires_at.remove(&id) else { return false };
        self.expiries.remove(&(SortKey::new(expires_at), id))
    }

    /// Shortens a reservation to at most the time for which a result is shared.
    pub(super) fn cache_result(&mut self, now: f64, id: RequestId) {
        if let Some(expires_at) = self.expires_at.get(&id) {
            self.set_expiry(id, expires_at.min(now + self.shared_result_ttl_ms));
        }
    }

    /// Drops the expired reservations.
    ///
    /// If results are shared, each is also released by an action, as its reservation may have been shortened
    /// after it was made.
    pub(super) fn drop_expired(&mut self, now: f64, actions: &mut Vec<Action>) {
        let expired = self.expiries.range(..=(SortKey::new(now), RequestId::MAX));
        let mut ids: Vec<RequestId> = expired.map(|(_, id)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            self.remove(id);
            if self.shares_results() {
                actions.push(Action::ReleaseKey(id));
            }
        }
    }

    fn set_expiry(&mut self, id: RequestId, expires_at: f64) {
        self.remove(id);
        self.expires_at.insert(id, expires_at);
        self.expiries.insert((SortKey::new(expires_at), id));
    }
}
