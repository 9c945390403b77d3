//! Settings in force: the platform's tenants and classes, overridden and extended by the distributed
//! settings. A state machine without I/O.
//!
//! Each tenant has a position, which requests carry to the admission controller. The positions of the
//! platform's tenants are fixed. Any other tenant is assigned a free position, which is released when the
//! tenant's quota is deleted.
//!
//! # Invariants
//! - Each list of changes is applied as a whole.
//! - A released position is not reused until the caller confirms with
//!   [`EffectiveSettings::recycle_positions`] that no request decoded before the change is still in flight.

use crate::admission::{ClassLimitChange, QuotaChange, Reconfiguration};
use crate::server::name_table::NameTable;
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use std::collections::HashMap;
use std::sync::Arc;

/// Distributed quotas are given in thousandths of a request per second.
const MILLI_PER_UNIT: f64 = 1000.0;
/// Spare capacity of a table is its size divided by this, so that later changes rarely make the table grow.
const SPARE_DIVISOR: usize = 8;
/// Minimum spare capacity of a table.
const MIN_SPARE: usize = 1024;

/// Settings from the platform's configuration file, which are fixed for the lifetime of the process.
#[derive(Debug, Default)]
pub struct PlatformSettings {
    /// Positions of classes by name.
    pub classes: Arc<NameTable>,
    /// Positions of tenants by name.
    pub tenants: Arc<NameTable>,
    /// Quotas of the tenants by position, in requests per second.
    pub quotas: Vec<f64>,
}

/// Settings in force.
#[derive(Clone, Debug)]
pub struct EffectiveSettings {
    platform: Arc<PlatformSettings>,
    /// Positions by name of the tenants that the platform does not list.
    tenants: HashMap<Arc<str>, u32>,
    /// Positions of the routes' classes, by route name.
    routes: HashMap<Arc<str>, u32>,
    /// Positions that can be assigned to new tenants.
    free_positions: Vec<u32>,
    /// Released positions that a request in flight may still carry.
    released_positions: Vec<u32>,
    /// Number of positions assigned so far, including the platform's: the next new position.
    position_count: u32,
}

impl EffectiveSettings {
    /// Returns the platform's settings, without any distributed settings.
    pub fn new(platform: Arc<PlatformSettings>) -> EffectiveSettings {
        let position_count = u32::try_from(platform.quotas.len()).unwrap_or(u32::MAX);
        EffectiveSettings {
            platform,
            tenants: HashMap::new(),
            routes: HashMap::new(),
            free_positions: Vec::new(),
            released_positions: Vec::new(),
            position_count,
        }
    }

    /// Returns the position of a tenant, or `None` if the tenant is unknown.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        let platform_position = self.platform.tenants.position(name.as_bytes());
        platform_position.or_else(|| self.tenants.get(name).map(|position| *position as usize))
    }

    /// Returns the position of the class that the route for a method names, or `None` if there is no such
    /// route.
    pub fn route(&self, method: &[u8]) -> Option<usize> {
        let name = std::str::from_utf8(method).ok()?;
        self.routes.get(name).map(|class| *class as usize)
    }

    /// Returns whether the platform lists tenants. If it does, each request must name a known tenant.
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

    /// Returns whether `additions` entries can be added to either table without growing it.
    pub fn has_capacity(&self, additions: usize) -> bool {
        let fits = |capacity: usize, len: usize| capacity - len >= additions;
        fits(self.tenants.capacity(), self.tenants.len()) && fits(self.routes.capacity(), self.routes.len())
    }

    /// Reserves capacity for `additions` entries and spare capacity in both tables.
    pub fn reserve(&mut self, additions: usize) {
        let spare = |len: usize| additions + MIN_SPARE.max((len + additions) / SPARE_DIVISOR);
        self.tenants.reserve(spare(self.tenants.len()));
        self.routes.reserve(spare(self.routes.len()));
    }

    /// Applies changes, which contain each key at most once, and returns the changes for the admission
    /// controller. The caller has validated the changes: a route to an unknown class only removes the route
    /// that it replaces, and a limit of an unknown class is ignored.
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

    /// Makes released positions available again. The caller ensures that no request decoded before the last
    /// change is still in flight.
    pub fn recycle_positions(&mut self) {
        self.free_positions.append(&mut self.released_positions);
    }

    fn assign_position(&mut self, name: &Arc<str>) -> usize {
        if let Some(position) = self.tenant(name) {
            return position;
        }
        let position = self.free_positions.pop().unwrap_or_else(|| {
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
        self.released_positions.push(position);
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
