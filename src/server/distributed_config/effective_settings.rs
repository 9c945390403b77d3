//! The settings in force: the platform's tenants and classes with the distributed settings on top. A state machine
//! without I/O.
//!
//! Tenants have positions, which requests carry to the admission controller. The platform's tenants keep theirs. Another
//! tenant gets a free position, and gives it back when its quota is deleted.
//!
//! # Invariants
//! - Changes are applied whole.
//! - A position that was given back is not used before [`EffectiveSettings::recycle_positions`] says that no request
//!   decoded before the change is on its way.

use crate::admission::{ClassLimitChange, QuotaChange, Reconfiguration};
use crate::server::name_table::NameTable;
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use std::collections::HashMap;
use std::sync::Arc;

/// Quotas are distributed in thousandths of a request a second.
const MILLI_PER_UNIT: f64 = 1000.0;
/// Spare capacity of a table, as a divisor of its size and at least, so that later changes seldom make it grow.
const SPARE_DIVISOR: usize = 8;
const MIN_SPARE: usize = 1024;

/// The settings of the platform's file, for the life of the process.
#[derive(Debug, Default)]
pub struct PlatformSettings {
    /// The classes by name.
    pub classes: Arc<NameTable>,
    /// The tenants by name.
    pub tenants: Arc<NameTable>,
    /// The quotas of the tenants, requests a second.
    pub quotas: Vec<f64>,
}

/// The settings in force.
#[derive(Clone, Debug)]
pub struct EffectiveSettings {
    platform: Arc<PlatformSettings>,
    /// Positions of tenants that the platform does not list.
    tenants: HashMap<Arc<str>, u32>,
    /// Classes of routes, by position.
    routes: HashMap<Arc<str>, u32>,
    /// Positions that new tenants may get.
    free: Vec<u32>,
    /// Positions given back that a request on its way may still carry.
    retired: Vec<u32>,
    /// The number of positions that were ever used.
    position_count: u32,
}

impl EffectiveSettings {
    /// Returns the platform's settings alone.
    pub fn new(platform: Arc<PlatformSettings>) -> EffectiveSettings {
        let position_count = u32::try_from(platform.quotas.len()).unwrap_or(u32::MAX);
        EffectiveSettings {
            platform,
            tenants: HashMap::new(),
            routes: HashMap::new(),
            free: Vec::new(),
            retired: Vec::new(),
            position_count,
        }
    }

    /// Returns the position of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        let of_platform = self.platform.tenants.position(name.as_bytes());
        of_platform.or_else(|| self.tenants.get(name).map(|position| *position as usize))
    }

    /// Returns the position of the class that a route leads to.
    pub fn route(&self, method: &[u8]) -> Option<usize> {
        let name = std::str::from_utf8(method).ok()?;
        self.routes.get(name).map(|class| *class as usize)
    }

    /// Returns whether the platform lists tenants. Where it does, a request has to name a known one.
    pub fn platform_lists_tenants(&self) -> bool {
        !self.platform.tenants.is_empty()
    }

    /// Returns the number of tenants that the platform does not list.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether so many additions fit without a table growing.
    pub fn has_capacity(&self, additions: usize) -> bool {
        let fits = |capacity: usize, len: usize| capacity - len >= additions;
        fits(self.tenants.capacity(), self.tenants.len()) && fits(self.routes.capacity(), self.routes.len())
    }

    /// Reserves capacity for so many additions, and some more.
    pub fn reserve(&mut self, additions: usize) {
        let spare = |len: usize| additions + MIN_SPARE.max((len + additions) / SPARE_DIVISOR);
        self.tenants.reserve(spare(self.tenants.len()));
        self.routes.reserve(spare(self.routes.len()));
    }

    /// Applies changes, each key at most once, and returns those for the admission controller. The changes were
    /// validated: one that names an unknown class has no effect beyond removing what it replaces.
    pub fn apply(&mut self, changes: &[Change]) -> Reconfiguration {
        let mut reconfiguration = Reconfiguration::default();
        for change in changes {
            match change {
                Change::Put(Resource::TenantAllowance { tenant, milli_per_second }) => {
                    let per_second = Some(*milli_per_second as f64 / MILLI_PER_UNIT);
                    let tenant = self.assign_position(tenant);
                    reconfiguration.quotas.push(QuotaChange { tenant, per_second });
                }
                Change::Delete(Key::Tenant(tenant)) => {
                    reconfiguration.quotas.extend(self.delete_tenant(tenant));
                }
                Change::Put(Resource::Route { route, class }) => self.put_route(route, class),
                Change::Delete(Key::Route(route)) => drop(self.routes.remove(route)),
                Change::Put(Resource::ClassLimit { class, max_running }) => {
                    let max_running = Some(*max_running as usize);
                    reconfiguration.class_limits.extend(self.class_limit(class, max_running));
                }
                Change::Delete(Key::Class(class)) => {
                    reconfiguration.class_limits.extend(self.class_limit(class, None));
                }
            }
        }
        reconfiguration
    }

    /// Makes positions that were given back free: no request decoded before the last change is on its way.
    pub fn recycle_positions(&mut self) {
        self.free.append(&mut self.retired);
    }

    fn assign_position(&mut self, name: &Arc<str>) -> usize {
        if let Some(position) = self.tenant(name) {
            return position;
        }
        let position = self.free.pop().unwrap_or_else(|| {
            self.position_count += 1;
            self.position_count - 1
        });
        self.tenants.insert(name.clone(), position);
        position as usize
    }

    fn delete_tenant(&mut self, name: &str) -> Option<QuotaChange> {
        if let Some(tenant) = self.platform.tenants.position(name.as_bytes()) {
            let per_second = self.platform.quotas.get(tenant).copied();
            return Some(QuotaChange { tenant, per_second });
        }
        let position = self.tenants.remove(name)?;
        self.retired.push(position);
        Some(QuotaChange { tenant: position as usize, per_second: None })
    }

    fn put_route(&mut self, route: &Arc<str>, class: &str) {
        match self.platform.classes.position(class.as_bytes()).map(u32::try_from) {
            Some(Ok(class)) => drop(self.routes.insert(route.clone(), class)),
            _ => drop(self.routes.remove(route)),
        }
    }

    fn class_limit(&self, class: &str, max_running: Option<usize>) -> Option<ClassLimitChange> {
        let class = self.platform.classes.position(class.as_bytes())?;
        Some(ClassLimitChange { class, max_running })
    }
}
