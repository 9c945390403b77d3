//! The parties around a round server, played on loopback: the worker pool, the index, the catalog and client proxies,
//! written from the protocol's pages and from nothing in the daemon, so that a fault in the daemon's codecs is not a
//! fault here as well. Each party is a thread; its chance comes from a seed; faults are scripted.
//!
//! ```
//! use dunlinspread_fakes::{Catalog, Pool, PoolFaults, Site};
//!
//! let site = Site::rounds(6);
//! let pool = Pool::start(&site, 1, PoolFaults::default()).expect("a free port");
//! let catalog = Catalog::start().expect("a free port");
//! let config = site.config("n1", "127.0.0.1:0", pool.address(), catalog.address(), None);
//! assert!(config.contains("\"pour-entry\""));
//! ```
#![forbid(unsafe_code)]

mod catalog;
mod collector;
mod http;
mod index;
mod party;
mod pool;
mod proxy;
mod site;

pub use catalog::Catalog;
pub use collector::{Collector, CollectorCounts};
pub use index::{Index, IndexFaults};
pub use pool::{Pool, PoolFaults};
pub use proxy::{Count, Habits, Load, Outcome, Progress, Proxies, Tally};
pub use site::{ClassPlan, Site};

/// Unix time now, ms.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
