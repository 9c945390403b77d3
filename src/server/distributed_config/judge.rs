//! Whether this server can put changes in force. It runs on the subscriber's thread and takes no look at the serving
//! thread's state: it keeps the names that it let through, as hashes.

use crate::server::name_table::NameTable;
use dunlinspread_config_sync::client::Judge;
use dunlinspread_config_sync::resource::{Change, Key, Resource};
use slog::{Logger, warn};
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The least time between two log lines about refusals.
const LOG_EVERY: Duration = Duration::from_secs(60);

/// The most tenants and routes.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Tenants, the platform's among them.
    pub max_tenants: usize,
    /// Routes.
    pub max_routes: usize,
}

/// Judges changes for a round server. What it lets through is taken to be in force from then on.
pub struct ServerJudge {
    classes: Arc<NameTable>,
    platform_tenants: Arc<NameTable>,
    capacity: Capacity,
    hasher: RandomState,
    /// A lock for the trait's sake: only the subscriber's thread judges.
    known: Mutex<Known>,
    log: Logger,
}

/// Hashes of the names in force.
#[derive(Default)]
struct Known {
    tenants: HashSet<u64>,
    routes: HashSet<u64>,
    logged: Option<Instant>,
    not_logged: u64,
}

/// How many names changes add and remove.
#[derive(Default)]
struct Balance {
    added: usize,
    removed: usize,
}

impl Balance {
    fn note(&mut self, stays: bool, was: bool) {
        self.added += usize::from(stays && !was);
        self.removed += usize::from(!stays && was);
    }

    fn of(&self, before: usize) -> usize {
        before + self.added - self.removed
    }
}

impl ServerJudge {
    /// A judge for a server with these classes and tenants of the platform's.
    pub fn new(
        classes: Arc<NameTable>,
        platform_tenants: Arc<NameTable>,
        capacity: Capacity,
        log: Logger,
    ) -> ServerJudge {
        ServerJudge {
            classes,
            platform_tenants,
            capacity,
            hasher: RandomState::new(),
            known: Mutex::default(),
            log,
        }
    }

    fn check_classes(&self, changes: &[Change]) -> Result<(), String> {
        for change in changes {
            let (what, class) = match change {
                Change::Put(Resource::Route { route, class }) => (format!("route `{route}`: "), class),
                Change::Put(Resource::ClassLimit { class, .. }) => (String::new(), class),
                _ => continue,
            };
            if self.classes.position(class.as_bytes()).is_none() {
                return Err(format!("{what}class `{class}` is not known on this server"));
            }
        }
        Ok(())
    }

    fn check_capacity(&self, known: &Known, changes: &[Change]) -> Result<(), String> {
        let (mut tenants, mut routes) = (Balance::default(), Balance::default());
        for (key, stays) in changes.iter().map(|change| (change.key(), matches!(change, Change::Put(_)))) {
            let hash = self.hasher.hash_one(key.name());
            match key {
                Key::Tenant(name) if self.is_of_platform(&name) => {}
                Key::Tenant(_) => tenants.note(stays, known.tenants.contains(&hash)),
                Key::Route(_) => routes.note(stays, known.routes.contains(&hash)),
                Key::Class(_) => {}
            }
        }
        let tenants = tenants.of(known.tenants.len()) + self.platform_tenants.len();
        check_count("tenants", tenants, self.capacity.max_tenants)?;
        check_count("routes", routes.of(known.routes.len()), self.capacity.max_routes)
    }

    fn is_of_platform(&self, tenant: &str) -> bool {
        self.platform_tenants.position(tenant.as_bytes()).is_some()
    }

    fn note(&self, known: &mut Known, changes: &[Change]) {
        for change in changes {
            let key = change.key();
            let hash = self.hasher.hash_one(key.name());
            let names = match &key {
                Key::Tenant(name) if self.is_of_platform(name) => continue,
                Key::Tenant(_) => &mut known.tenants,
                Key::Route(_) => &mut known.routes,
                Key::Class(_) => continue,
            };
            match change {
                Change::Put(_) => names.insert(hash),
                Change::Delete(_) => names.remove(&hash),
            };
        }
    }

    fn report(&self, known: &mut Known, reason: &str) {
        if known.logged.is_some_and(|at| at.elapsed() < LOG_EVERY) {
            known.not_logged += 1;
            return;
        }
        warn!(self.log, "config_sync: a change is refused, the settings in force stay";
            "why" => reason, "refused_since_last_line" => known.not_logged);
        (known.logged, known.not_logged) = (Some(Instant::now()), 0);
    }
}

impl Judge for ServerJudge {
    fn judge(&self, changes: &[Change]) -> Result<(), String> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = self.check_classes(changes).and_then(|()| self.check_capacity(&known, changes));
        match &verdict {
            Ok(()) => self.note(&mut known, changes),
            Err(reason) => self.report(&mut known, reason),
        }
        verdict
    }
}

fn check_count(what: &str, count: usize, most: usize) -> Result<(), String> {
    if count <= most { Ok(()) } else { Err(format!("{count} {what}, this server takes {most}")) }
}
