//! Compares the effective settings with a map of the resources, and tests the validation of changes.

use dunlinspread::server::distributed_config::{
    Capacity, ChangeValidator, EffectiveSettings, PlatformSettings,
};
use dunlinspread::server::name_table::NameTable;
use dunlinspread::{ClassLimitChange, Reconfiguration};
use dunlinspread_config_sync::client::{Judge, Rejection};
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const CLASSES: [&str; 3] = ["read", "write", "print"];
/// Names of the tenants; the first [`PLATFORM_TENANTS`] are in the platform's settings.
const TENANTS: [&str; 8] = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"];
/// Number of tenants in the platform's settings.
const PLATFORM_TENANTS: usize = 3;
const ROUTES: [&str; 5] = ["r0", "r1", "r2", "r3", "r4"];

fn names(list: &[&str]) -> Arc<NameTable> {
    let list: Vec<String> = list.iter().map(|name| (*name).to_owned()).collect();
    Arc::new(NameTable::new(&list))
}

fn platform() -> PlatformSettings {
    PlatformSettings {
        classes: names(&CLASSES),
        tenants: names(&TENANTS[..PLATFORM_TENANTS]),
        quotas: vec![10.0, 11.0, 12.0],
    }
}

fn put_tenant(name: &str, milli_per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: name.into(), milli_per_second })
}

fn put_route(name: &str, class: &str) -> Change {
    Change::Put(Resource::Route { route: name.into(), class: class.into() })
}

fn put_limit(class: &str, max_running: u32) -> Change {
    Change::Put(Resource::ClassLimit { class: class.into(), max_running })
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..TENANTS.len(), 0..5000u64).prop_map(|(tenant, milli)| put_tenant(TENANTS[tenant], milli)),
        (0..TENANTS.len()).prop_map(|tenant| Change::Delete(Key::Tenant(TENANTS[tenant].into()))),
        (0..ROUTES.len(), 0..CLASSES.len())
            .prop_map(|(route, class)| put_route(ROUTES[route], CLASSES[class])),
        (0..ROUTES.len()).prop_map(|route| Change::Delete(Key::Route(ROUTES[route].into()))),
        (0..CLASSES.len(), 1..9u32).prop_map(|(class, max_running)| put_limit(CLASSES[class], max_running)),
        (0..CLASSES.len()).prop_map(|class| Change::Delete(Key::Class(CLASSES[class].into()))),
    ]
}

/// Returns changes that are applied together, each key at most once, and whether all requests decoded before
/// them have reached the dispatcher.
fn any_update() -> impl Strategy<Value = (Vec<Change>, bool)> {
    (prop::collection::vec(any_change(), 1..6), any::<bool>()).prop_map(|(changes, settled)| {
        let by_key: BTreeMap<Key, Change> = changes.into_iter().map(|c| (c.key(), c)).collect();
        (by_key.into_values().collect(), settled)
    })
}

/// Model of the admission controller: quotas by the positions of tenants, and limits by those of classes.
#[derive(Default)]
struct ControllerModel {
    quotas: BTreeMap<usize, f64>,
    limits: BTreeMap<usize, usize>,
}

impl ControllerModel {
    fn apply(&mut self, changes: &Reconfiguration) {
        for change in &changes.quotas {
            match change.per_second {
                Some(rate) => drop(self.quotas.insert(change.tenant, rate)),
                None => drop(self.quotas.remove(&change.tenant)),
            }
        }
        for ClassLimitChange { class, max_running } in &changes.class_limits {
            match max_running {
                Some(max_running) => drop(self.limits.insert(*class, *max_running)),
                None => drop(self.limits.remove(class)),
            }
        }
    }
}

proptest! {
    #[test]
    fn effective_settings_match_a_map_of_the_resources(
        updates in prop::collection::vec(any_update(), 1..40),
    ) {
        let mut effective = EffectiveSettings::new(Arc::new(platform()));
        let mut controller = ControllerModel { quotas: [(0, 10.0), (1, 11.0), (2, 12.0)].into(), ..ControllerModel::default() };
        let mut model: BTreeMap<Key, Resource> = BTreeMap::new();
        // Positions of deleted tenants that a request decoded before the change may still carry.
        let mut retired: BTreeSet<usize> = BTreeSet::new();
        for (changes, settled) in updates {
            let before: BTreeMap<&str, usize> =
                TENANTS.iter().filter_map(|t| Some((*t, effective.tenant(t)?))).collect();
            controller.apply(&effective.apply(&changes));
            for change in changes {
                match change {
                    Change::Put(resource) => drop(model.insert(resource.key(), resource)),
                    Change::Delete(key) => drop(model.remove(&key)),
                }
            }
            check(&effective, &controller, &model)?;
            for (at, tenant) in TENANTS.iter().enumerate() {
                let after = effective.tenant(tenant);
                match (before.get(tenant), after) {
                    (Some(before), Some(after)) => prop_assert_eq!(*before, after, "{} moved", tenant),
                    (None, Some(after)) => prop_assert!(!retired.contains(&after), "{} reused too early", after),
                    (Some(before), None) => drop(retired.insert(*before)),
                    (None, None) => {}
                }
                prop_assert!(at >= PLATFORM_TENANTS || after == Some(at));
            }
            if settled {
                effective.recycle_positions();
                retired.clear();
            }
        }
        // After all tenants are deleted and their positions recycled, only the positions of the platform's
        // tenants are in use.
        let gone: Vec<Change> = TENANTS.iter().map(|t| Change::Delete(Key::Tenant((*t).into()))).collect();
        controller.apply(&effective.apply(&gone));
        effective.recycle_positions();
        let last_position = controller.quotas.keys().max().copied().unwrap_or(0);
        prop_assert_eq!(last_position, PLATFORM_TENANTS - 1);
        prop_assert_eq!(effective.tenant_count(), 0);
    }
}

/// Compares the effective settings and the controller's quotas and limits with the resources.
fn check(
    effective: &EffectiveSettings,
    controller: &ControllerModel,
    model: &BTreeMap<Key, Resource>,
) -> Result<(), TestCaseError> {
    let mut positions = BTreeSet::new();
    for (at, tenant) in TENANTS.iter().enumerate() {
        let expected = match model.get(&Key::Tenant((*tenant).into())) {
            Some(Resource::TenantAllowance { milli_per_second, .. }) => {
                Some(*milli_per_second as f64 / 1000.0)
            }
            _ if at < PLATFORM_TENANTS => Some(10.0 + at as f64),
            _ => None,
        };
        let position = effective.tenant(tenant);
        prop_assert_eq!(position.is_some(), expected.is_some(), "{}", tenant);
        prop_assert_eq!(position.and_then(|p| controller.quotas.get(&p).copied()), expected, "{}", tenant);
        prop_assert!(position.is_none_or(|p| positions.insert(p)), "two tenants have the same position");
    }
    prop_assert_eq!(controller.quotas.len(), positions.len(), "the quota of a deleted tenant remains");
    for route in ROUTES {
        let class = match model.get(&Key::Route(route.into())) {
            Some(Resource::Route { class, .. }) => CLASSES.iter().position(|c| **c == **class),
            _ => None,
        };
        prop_assert_eq!(effective.route(route.as_bytes()), class, "{}", route);
    }
    for (at, class) in CLASSES.iter().enumerate() {
        let limit = match model.get(&Key::Class((*class).into())) {
            Some(Resource::ClassLimit { max_running, .. }) => Some(*max_running as usize),
            _ => None,
        };
        prop_assert_eq!(controller.limits.get(&at).copied(), limit, "{}", class);
    }
    Ok(())
}

fn validator(max_tenants: usize, max_routes: usize) -> ChangeValidator {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let capacity = Capacity { max_tenants, max_routes };
    ChangeValidator::new(names(&CLASSES), names(&TENANTS[..PLATFORM_TENANTS]), capacity, log)
}

#[test]
fn an_unknown_class_is_rejected_by_name() {
    let validator = validator(10, 10);
    assert_eq!(validator.judge(&[put_route("r0", "read"), put_limit("write", 3)]), Ok(()));
    assert_eq!(
        validator.judge(&[put_route("r1", "read"), put_route("r2", "sing")]),
        Err(Rejection::new("route `r2`: class `sing` is not known on this server"))
    );
    assert_eq!(
        validator.judge(&[put_limit("sing", 3)]),
        Err(Rejection::new("class `sing` is not known on this server"))
    );
    assert_eq!(validator.judge(&[Change::Delete(Key::Class("sing".into()))]), Ok(()));
}

#[test]
fn a_change_past_the_capacity_is_rejected_and_not_counted() {
    let validator = validator(5, 1);
    assert_eq!(validator.judge(&[put_tenant("t3", 1), put_tenant("t4", 1)]), Ok(()));
    let full = Err(Rejection::new("6 tenants exceed this server's limit of 5"));
    assert_eq!(validator.judge(&[put_tenant("t5", 1)]), full);
    // Existing tenants and those of the platform may change.
    assert_eq!(validator.judge(&[put_tenant("t0", 1), put_tenant("t4", 2)]), Ok(()));
    assert_eq!(validator.judge(&[put_tenant("t5", 1), Change::Delete(Key::Tenant("t4".into()))]), Ok(()));
    assert_eq!(validator.judge(&[put_tenant("t4", 1)]), full);
    // Deleting the allowance of a platform's tenant frees no place: the platform's value applies again.
    assert_eq!(validator.judge(&[put_tenant("t4", 1), Change::Delete(Key::Tenant("t0".into()))]), full);
    assert_eq!(validator.judge(&[put_route("r0", "read")]), Ok(()));
    assert_eq!(validator.judge(&[put_route("r0", "write")]), Ok(()));
    assert_eq!(
        validator.judge(&[put_route("r1", "read")]),
        Err(Rejection::new("2 routes exceed this server's limit of 1"))
    );
}
