//! The distributed data: typed resources, changes to them, and transactions that apply atomically.

use std::sync::Arc;

/// Milliseconds of a monotonic clock; only differences are meaningful.
pub type Millis = u64;

/// Maximum length of the name of a tenant, route or class, in bytes.
pub const MAX_NAME: usize = 128;
/// Maximum number of changes in one transaction.
pub const MAX_CHANGES: usize = 1_000;

/// A position in the history: later epochs come after all revisions of earlier ones. A publisher that
/// restarts from its store continues in the same epoch; one whose store was lost or set back starts a higher
/// epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Epoch of the history.
    pub epoch: u64,
    /// Number of transactions applied in the epoch; 0 before the first.
    pub revision: u64,
}

impl Position {
    /// Returns the position after the next transaction of the same epoch.
    pub fn next(self) -> Position {
        Position { revision: self.revision.saturating_add(1), ..self }
    }
}

/// Digest of a whole table: the sum, modulo 2^128, of the hashes of its resources, so that a change updates
/// it without reading the other resources. Detects accidental differences, not forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

/// Key of a resource: its kind and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Key of a tenant's allowance.
    Tenant(Arc<str>),
    /// Key of a route's class.
    Route(Arc<str>),
    /// Key of a class's limit.
    Class(Arc<str>),
}

impl Key {
    /// Returns the name without the kind.
    pub fn name(&self) -> &str {
        match self {
            Key::Tenant(name) | Key::Route(name) | Key::Class(name) => name,
        }
    }
}

/// A distributed setting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Rate of requests that a tenant may send to the whole fleet.
    TenantAllowance {
        /// The tenant.
        tenant: Arc<str>,
        /// Rate in thousandths of a request per second; an integer, so that equal settings are equal bit for
        /// bit.
        milli_per_second: u64,
    },
    /// Class of the requests of a route.
    Route {
        /// The route: a method name that callers use.
        route: Arc<str>,
        /// The class.
        class: Arc<str>,
    },
    /// Limit of the requests of a class that run at the same time in one round server.
    ClassLimit {
        /// The class.
        class: Arc<str>,
        /// Maximum number of running requests, at least 1.
        max_running: u32,
    },
}

impl Resource {
    /// Returns the key of the resource.
    pub fn key(&self) -> Key {
        match self {
            Resource::TenantAllowance { tenant, .. } => Key::Tenant(tenant.clone()),
            Resource::Route { route, .. } => Key::Route(route.clone()),
            Resource::ClassLimit { class, .. } => Key::Class(class.clone()),
        }
    }
}

/// A change within a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Sets a resource, whether or not it exists.
    Put(Resource),
    /// Removes a resource; has no effect if it does not exist.
    Delete(Key),
}

impl Change {
    /// Returns the key that the change affects.
    pub fn key(&self) -> Key {
        match self {
            Change::Put(resource) => resource.key(),
            Change::Delete(key) => key.clone(),
        }
    }
}

/// Changes that come in force together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transaction {
    /// Position after the transaction; it applies to the position immediately before, and to no other.
    pub position: Position,
    /// Changes, at most [`MAX_CHANGES`], with each key at most once.
    pub changes: Vec<Change>,
    /// Digest of the table after the transaction.
    pub digest: Digest,
    /// Time at which the publisher accepted the transaction, Unix ms; for measurements and ages, never for
    /// ordering.
    pub published_unix_ms: u64,
}

/// Reason why changes are invalid. The publisher checks them before it accepts them, and every reader checks
/// them again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// There are no changes, or more than [`MAX_CHANGES`].
    #[error("transaction of {0} changes, expected 1 to {MAX_CHANGES}")]
    Size(usize),
    /// A name is empty or longer than [`MAX_NAME`].
    #[error("name of {0} bytes, expected 1 to {MAX_NAME}")]
    Name(usize),
    /// The limit of a class is 0.
    #[error("class `{0}`: max_running is 0, expected at least 1")]
    Limit(Arc<str>),
    /// A transaction changes a key twice.
    #[error("`{0}` is changed twice in one transaction")]
    Twice(Arc<str>),
    /// A route leads to a class that has no limit resource and is not otherwise known.
    #[error("route `{route}`: class `{class}` is not known")]
    UnknownClass {
        /// The route.
        route: Arc<str>,
        /// The class.
        class: Arc<str>,
    },
}

/// Checks all properties of changes that don't depend on a table.
///
/// # Errors
/// Returns the first [`Invalid`] property.
pub fn check(changes: &[Change]) -> Result<(), Invalid> {
    if changes.is_empty() || changes.len() > MAX_CHANGES {
        return Err(Invalid::Size(changes.len()));
    }
    let mut keys = std::collections::HashSet::with_capacity(changes.len());
    for change in changes {
        let key = change.key();
        check_name(key.name())?;
        match change {
            Change::Put(Resource::Route { class, .. }) => check_name(class)?,
            Change::Put(Resource::ClassLimit { class, max_running: 0 }) => {
                return Err(Invalid::Limit(class.clone()));
            }
            Change::Put(_) | Change::Delete(_) => {}
        }
        if !keys.insert(key.clone()) {
            return Err(Invalid::Twice(key.name().into()));
        }
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), Invalid> {
    if (1..=MAX_NAME).contains(&name.len()) { Ok(()) } else { Err(Invalid::Name(name.len())) }
}
