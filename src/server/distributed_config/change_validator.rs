//! Validation of changes before they are applied. It runs on the subscriber's thread and keeps hashes of the
//! accepted names, so that it does not access state of the serving thread.

use super::error::ChangeError;
use crate::server::name_table::NameTable;
use dunlinspread_config_sync::client::{Judge, Rejection};
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use slog::{Logger, warn};
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Minimum time between two log lines about rejected changes.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Limits of the number of tenants and routes.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Maximum number of tenants, including the platform's.
    pub max_tenants: usize,
    /// Maximum number of routes.
    pub max_routes: usize,
}

/// Validates changes for a server. It counts accepted changes as in force from then on.
pub struct ChangeValidator {
    classes: Arc<NameTable>,
    platform_tenants: Arc<NameTable>,
    capacity: Capacity,
    hasher: RandomState,
    /// Locked only because the trait's method takes `&self`: no other thread than the subscriber's validates.
    accepted: Mutex<AcceptedNames>,
    log: Logger,
}

/// Hashes of the names in force, and the rate limit of the log.
#[derive(Default)]
struct AcceptedNames {
    tenants: HashSet<u64>,
    routes: HashSet<u64>,
    last_logged_at: Option<Instant>,
    /// Number of rejections since the last log line.
    unlogged_rejections: u64,
}

/// Number of names that a list of changes adds and removes.
#[derive(Default)]
struct CountChange {
    added: usize,
    removed: usize,
}

impl CountChange {
    fn record(&mut self, exists_after: bool, existed_before: bool) {
        self.added += usize::from(exists_after && !existed_before);
        self.removed += usize::from(!exists_after && existed_before);
    }

    fn apply_to(&self, before: usize) -> usize {
        before + self.added - self.removed
    }
}

impl ChangeValidator {
    /// Returns a validator for a server with the classes and tenants of the platform's configuration file.
    pub fn new(
        classes: Arc<NameTable>,
        platform_tenants: Arc<NameTable>,
        capacity: Capacity,
        log: Logger,
    ) -> ChangeValidator {
        ChangeValidator {
            classes,
            platform_tenants,
            capacity,
            hasher: RandomState::new(),
            accepted: Mutex::default(),
            log,
        }
    }

    fn check_classes(&self, changes: &[Change]) -> Result<(), ChangeError> {
        for change in changes {
            match change {
                Change::Put(Resource::Route { route, class }) if !self.is_known_class(class) => {
                    let (route, class) = (route.to_string(), class.to_string());
                    return Err(ChangeError::UnknownClassOfRoute { route, class });
                }
                Change::Put(Resource::ClassLimit { class, .. }) if !self.is_known_class(class) => {
                    return Err(ChangeError::UnknownClass { class: class.to_string() });
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn is_known_class(&self, class: &str) -> bool {
        self.classes.position(class.as_bytes()).is_some()
    }

    fn check_capacity(&self, accepted: &AcceptedNames, changes: &[Change]) -> Result<(), ChangeError> {
        let (mut tenants, mut routes) = (CountChange::default(), CountChange::default());
        for change in changes {
            let key = change.key();
            let exists_after = matches!(change, Change::Put(_));
            let hash = self.hasher.hash_one(key.name());
            match key {
                Key::Tenant(name) if self.is_platform_tenant(&name) => {}
                Key::Tenant(_) => tenants.record(exists_after, accepted.tenants.contains(&hash)),
                Key::Route(_) => routes.record(exists_after, accepted.routes.contains(&hash)),
                Key::Class(_) => {}
            }
        }
        let Capacity { max_tenants, max_routes } = self.capacity;
        let count = tenants.apply_to(accepted.tenants.len()) + self.platform_tenants.len();
        if count > max_tenants {
            return Err(ChangeError::TooManyTenants { count, max: max_tenants });
        }
        let count = routes.apply_to(accepted.routes.len());
        if count > max_routes {
            return Err(ChangeError::TooManyRoutes { count, max: max_routes });
        }
        Ok(())
    }

    fn is_platform_tenant(&self, tenant: &str) -> bool {
        self.platform_tenants.position(tenant.as_bytes()).is_some()
    }

    fn accept(&self, accepted: &mut AcceptedNames, changes: &[Change]) {
        for change in changes {
            let key = change.key();
            let hash = self.hasher.hash_one(key.name());
            let names = match &key {
                Key::Tenant(name) if self.is_platform_tenant(name) => continue,
                Key::Tenant(_) => &mut accepted.tenants,
                Key::Route(_) => &mut accepted.routes,
                Key::Class(_) => continue,
            };
            match change {
                Change::Put(_) => names.insert(hash),
                Change::Delete(_) => names.remove(&hash),
            };
        }
    }

    fn log_rejection(&self, accepted: &mut AcceptedNames, error: &ChangeError) {
        if accepted.last_logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            accepted.unlogged_rejections += 1;
            return;
        }
        warn!(self.log, "configuration change rejected";
            "reason" => error.to_string(), "rejected_since_last_line" => accepted.unlogged_rejections);
        (accepted.last_logged_at, accepted.unlogged_rejections) = (Some(Instant::now()), 0);
    }
}

impl Judge for ChangeValidator {
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection> {
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        let checked = self.check_classes(changes).and_then(|()| self.check_capacity(&accepted, changes));
        match &checked {
            Ok(()) => self.accept(&mut accepted, changes),
            Err(error) => self.log_rejection(&mut accepted, error),
        }
        checked.map_err(|error| Rejection::new(error.to_string()))
    }
}
