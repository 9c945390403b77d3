//! The parties around a round server, played on loopback: the worker pool, the index, the catalog and client proxies,
//! written from the protocol's pages and from nothing in the daemon, so that a fault in the daemon's codecs is not a
//! fault here as well. Each party is a thread; its chance comes from a seed; faults are scripted.
//!
//! ```
//! use dunlinspread_fakes::{FakeRegistry, FakeWorkerPool, WorkerPoolFaults, PlatformSettings};
//!
//! let site = PlatformSettings::rounds(6);
//! let pool = FakeWorkerPool::start(&site, 1, WorkerPoolFaults::default()).expect("a free port");
//! let catalog = FakeRegistry::start().expect("a free port");
//! let config = site.config("n1", "127.0.0.1:0", pool.address(), catalog.address(), None);
//! assert!(config.contains("\"pour-entry\""));
//! ```
#![forbid(unsafe_code)]

mod clients;
mod collector;
mod fake_server;
mod http;
mod platform;
mod registry;
mod upstream;
mod worker_pool;

pub use clients::{AttemptOutcome, ClientBehavior, FakeClients, Load, OutcomeCounts, Progress, Tally};
pub use collector::{CollectorCounts, FakeCollector};
pub use platform::{PlatformSettings, RequestClass};
pub use registry::FakeRegistry;
pub use upstream::{FakeUpstream, UpstreamFaults};
pub use worker_pool::{FakeWorkerPool, WorkerPoolFaults};

/// Unix time now, ms.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
