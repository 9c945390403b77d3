//! What is in force: the platform's tenants and classes with the distributed settings on top. A state machine without
//! I/O; a change is applied whole.
//!
//! Tenants have positions, which requests carry from the front to the decision module. The platform's tenants keep
//! theirs for good. Another tenant gets a free position, and gives it back when its allowance is deleted; a position
//! given back is not used again before [`InForce::settle`] says that no request read before the change is still on its
//! way.

use crate::admission::{ClassLimitChange, QuotaChange, Reconfiguration};
use crate::server::name_table::NameTable;
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use std::collections::HashMap;
use std::sync::Arc;

/// Allowances are distributed in thousandths of a request a second.
const MILLI: f64 = 1000.0;
/// Room beyond what is there, as a divisor and at least, so that later changes seldom make a table grow.
const SPARE_PART: usize = 8;
const SPARE_LEAST: usize = 1024;

/// What the platform's file says, for the life of the process.
#[derive(Debug, Default)]
pub struct Platform {
    /// The classes by name.
    pub classes: Arc<NameTable>,
    /// The tenants by name.
    pub tenants: Arc<NameTable>,
    /// The tenants' allowances, requests a second.
    pub quotas: Vec<f64>,
}

/// The settings in force.
#[derive(Clone, Debug)]
pub struct InForce {
    platform: Arc<Platform>,
    /// Positions of tenants that the platform does not list.
    tenants: HashMap<Arc<str>, u32>,
    /// Classes of routes, by position.
    routes: HashMap<Arc<str>, u32>,
    /// Positions that may be given to new tenants.
    free: Vec<u32>,
    /// Positions given back that a request on its way may still carry.
    leaving: Vec<u32>,
    /// Positions that were ever used.
    positions: u32,
}

impl InForce {
    /// What the platform says and nothing else.
    pub fn new(platform: Arc<Platform>) -> InForce {
        let positions = u32::try_from(platform.quotas.len()).unwrap_or(u32::MAX);
        InForce {
            platform,
            tenants: HashMap::new(),
            routes: HashMap::new(),
            free: Vec::new(),
            leaving: Vec::new(),
            positions,
        }
    }

    /// The tenant of that name, by position.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        let of_platform = self.platform.tenants.position(name.as_bytes());
        of_platform.or_else(|| self.tenants.get(name).map(|position| *position as usize))
    }

    /// The class that the route of that name leads to, by position.
    pub fn route(&self, method: &[u8]) -> Option<usize> {
        let name = std::str::from_utf8(method).ok()?;
        self.routes.get(name).map(|class| *class as usize)
    }

    /// Whether the platform lists tenants. Where it does, a request has to name one that is in force.
    pub fn platform_lists_tenants(&self) -> bool {
        !self.platform.tenants.is_empty()
    }

    /// Tenants and routes that the platform does not list.
    pub fn counts(&self) -> (usize, usize) {
        (self.tenants.len(), self.routes.len())
    }

    /// Whether that many additions fit without a table having to grow.
    pub fn has_room(&self, additions: usize) -> bool {
        let fits = |capacity: usize, len: usize| capacity - len >= additions;
        fits(self.tenants.capacity(), self.tenants.len()) && fits(self.routes.capacity(), self.routes.len())
    }

    /// Makes room for that many additions, and some more.
    pub fn reserve(&mut self, additions: usize) {
        let spare = |len: usize| additions + SPARE_LEAST.max((len + additions) / SPARE_PART);
        self.tenants.reserve(spare(self.tenants.len()));
        self.routes.reserve(spare(self.routes.len()));
    }

    /// Applies changes, each key at most once; what is left to be done in the decision module comes back. The changes
    /// were judged: one that names an unknown class has no effect beyond removing what it replaces.
    pub fn apply(&mut self, changes: &[Change]) -> Reconfiguration {
        let mut reconfiguration = Reconfiguration::default();
        for change in changes {
            match change {
                Change::Put(Resource::TenantAllowance { tenant, milli_per_second }) => {
                    let per_second = Some(*milli_per_second as f64 / MILLI);
                    let tenant = self.take_position(tenant);
                    reconfiguration.quotas.push(QuotaChange { tenant, per_second });
                }
                Change::Delete(Key::Tenant(tenant)) => {
                    reconfiguration.quotas.extend(self.delete_tenant(tenant));
                }
                Change::Put(Resource::Route { route, class }) => self.put_route(route, class),
                Change::Delete(Key::Route(route)) => drop(self.routes.remove(route)),
                Change::Put(Resource::ClassLimit { class, max_running }) => {
                    let most = Some(*max_running as usize);
                    reconfiguration.class_limits.extend(self.limit(class, most));
                }
                Change::Delete(Key::Class(class)) => {
                    reconfiguration.class_limits.extend(self.limit(class, None));
                }
            }
        }
        reconfiguration
    }

    /// No request that was read before the last change is on its way any more: positions given back may be used again.
    pub fn settle(&mut self) {
        self.free.append(&mut self.leaving);
    }

    fn take_position(&mut self, name: &Arc<str>) -> usize {
        if let Some(position) = self.tenant(name) {
            return position;
        }
        let position = self.free.pop().unwrap_or_else(|| {
            self.positions += 1;
            self.positions - 1
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
        self.leaving.push(position);
        Some(QuotaChange { tenant: position as usize, per_second: None })
    }

    fn put_route(&mut self, route: &Arc<str>, class: &str) {
        match self.platform.classes.position(class.as_bytes()).map(u32::try_from) {
            Some(Ok(class)) => drop(self.routes.insert(route.clone(), class)),
            _ => drop(self.routes.remove(route)),
        }
    }

    fn limit(&self, class: &str, max_running: Option<usize>) -> Option<ClassLimitChange> {
        let class = self.platform.classes.position(class.as_bytes())?;
        Some(ClassLimitChange { class, max_running })
    }
}
