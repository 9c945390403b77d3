//! What is distributed: typed resources, changes to them, and transactions that apply whole or not at all.

use std::sync::Arc;

/// Milliseconds of a monotonic clock; only differences mean anything.
pub type Millis = u64;

/// The longest name of a tenant, route or class, in bytes.
pub const MAX_NAME: usize = 128;
/// The most changes in one transaction.
pub const MAX_CHANGES: usize = 1_000;

/// A place in the history: later epochs come after all revisions of earlier ones. A publisher that restarts from its
/// store goes on in the same epoch; one whose store was lost or set back starts a higher epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The history.
    pub epoch: u64,
    /// The transactions applied in it; 0 before the first.
    pub revision: u64,
}

impl Position {
    /// The position after the next transaction of the same epoch.
    pub fn next(self) -> Position {
        Position { revision: self.revision.saturating_add(1), ..self }
    }
}

/// A digest of a whole table: the sum, modulo 2^128, of the hashes of its resources, so that a change updates it without
/// a look at the rest. Guards against accident, not against forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

/// The name of a resource within its kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A tenant's allowance.
    Tenant(Arc<str>),
    /// A route's class.
    Route(Arc<str>),
    /// A class's limit.
    Class(Arc<str>),
}

impl Key {
    /// The name without its kind.
    pub fn name(&self) -> &str {
        match self {
            Key::Tenant(name) | Key::Route(name) | Key::Class(name) => name,
        }
    }
}

/// One setting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Resource {
    /// What a tenant may send over the whole fleet.
    TenantAllowance {
        /// The tenant.
        tenant: Arc<str>,
        /// Thousandths of a request a second, so that equal settings are equal to the bit.
        milli_per_second: u64,
    },
    /// Which class the requests of a route belong to.
    Route {
        /// The route: a method name that callers use.
        route: Arc<str>,
        /// The class.
        class: Arc<str>,
    },
    /// How many requests of a class may run at once in one round server.
    ClassLimit {
        /// The class.
        class: Arc<str>,
        /// The most that run at once, at least 1.
        max_running: u32,
    },
}

impl Resource {
    /// The resource's key.
    pub fn key(&self) -> Key {
        match self {
            Resource::TenantAllowance { tenant, .. } => Key::Tenant(tenant.clone()),
            Resource::Route { route, .. } => Key::Route(route.clone()),
            Resource::ClassLimit { class, .. } => Key::Class(class.clone()),
        }
    }
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Sets a resource, whether or not it was there.
    Put(Resource),
    /// Removes a resource; without effect where it was not there.
    Delete(Key),
}

impl Change {
    /// The key that the change concerns.
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
    /// The position that applying it leads to; it applies to the position before, and to no other.
    pub position: Position,
    /// The changes, at most [`MAX_CHANGES`], each key at most once.
    pub changes: Vec<Change>,
    /// The digest of the table after it.
    pub digest: Digest,
    /// When the publisher accepted it, Unix ms; for measurements and ages, never for decisions about order.
    pub published_unix_ms: u64,
}

/// Why changes are not acceptable. The publisher checks before it accepts, and whoever reads them checks again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// There are no changes, or more than [`MAX_CHANGES`].
    #[error("a transaction of {0} changes, wanted 1 to {MAX_CHANGES}")]
    Size(usize),
    /// A name is empty or longer than [`MAX_NAME`].
    #[error("a name of {0} bytes, wanted 1 to {MAX_NAME}")]
    Name(usize),
    /// A limit of 0.
    #[error("class `{0}`: max_running is 0, wanted at least 1")]
    Limit(Arc<str>),
    /// A key stands twice in one transaction.
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

/// Checks what can be checked of changes by themselves.
///
/// # Errors
/// On the first fault.
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
