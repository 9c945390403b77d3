//! Compares the reservations of idempotency keys with a map.

use super::action::Action;
use super::event::RequestId;
use super::idempotency::IdempotencyReservations;
use super::operations::{seeded, settings};
use super::settings::{Preemption, Settings};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::{prop_assert_eq, proptest};
use std::collections::BTreeMap;

/// Time during which a result is shared, ms.
const SHARED_RESULT_TTL_MS: f64 = 30.0;
/// Upper bound of the request ids.
const IDS: RequestId = 8;

/// An operation on the reservations.
#[derive(Clone, Debug)]
enum Operation {
    Reserve { id: RequestId, class: usize },
    CacheResult(RequestId),
    Remove(RequestId),
    DropExpired,
    Wait(f64),
}

fn operation() -> impl Strategy<Value = Operation> {
    let id = || 0..IDS;
    prop_oneof![
        3 => (id(), 0..4_usize).prop_map(|(id, class)| Operation::Reserve { id, class }),
        1 => id().prop_map(Operation::CacheResult),
        1 => id().prop_map(Operation::Remove),
        2 => Just(Operation::DropExpired),
        2 => prop_oneof![Just(20.0), Just(150.0)].prop_map(Operation::Wait),
    ]
}

/// Returns the ids of the requests whose keys the actions release.
fn released(actions: &[Action]) -> Vec<RequestId> {
    let id = |action: &Action| match action {
        Action::ReleaseKey(id) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}

proptest! {
    #![proptest_config(seeded(512))]

    /// Guards against a reservation that expires early, late or never because its entry in the expiry order
    /// is stale.
    #[test]
    fn reservations_expire_as_a_walk_over_all_of_them_does(operations in vec(operation(), 1..80)) {
        let base = settings(Preemption::Off);
        let settings = Settings { shared_result_ttl_ms: SHARED_RESULT_TTL_MS, ..base };
        let mut reservations = IdempotencyReservations::new(&settings);
        let mut plain: BTreeMap<RequestId, f64> = BTreeMap::new();
        let mut now = 0.0;
        for operation in &operations {
            match *operation {
                Operation::Reserve { id, class } => {
                    let action = reservations.reserve(now, id, now, &settings.classes[class]);
                    let Action::ReserveKey { ttl_ms, .. } = action else { panic!("no reservation") };
                    plain.insert(id, now + ttl_ms);
                }
                Operation::CacheResult(id) => {
                    reservations.cache_result(now, id);
                    if let Some(expires_at) = plain.get_mut(&id) {
                        *expires_at = expires_at.min(now + SHARED_RESULT_TTL_MS);
                    }
                }
                Operation::Remove(id) => {
                    prop_assert_eq!(reservations.remove(id), plain.remove(&id).is_some());
                }
                Operation::DropExpired => {
                    let mut actions = Vec::new();
                    reservations.drop_expired(now, &mut actions);
                    let expired: Vec<_> =
                        plain.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
                    prop_assert_eq!(released(&actions), expired);
                    plain.retain(|_, expires_at| *expires_at > now);
                }
                Operation::Wait(ms) => now += ms,
            }
            prop_assert_eq!(reservations.len(), plain.len());
            for id in 0..IDS {
                prop_assert_eq!(reservations.contains(id), plain.contains_key(&id));
            }
        }
    }
}
