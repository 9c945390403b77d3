//! Fakes of the systems around a server, on loopback: the worker pool, the upstream service, the registry,
//! the collector of exports and the clients. They are implemented from the protocol documentation and share
//! no codec with the daemon, so that a bug in the daemon's codecs is not repeated here. Each fake runs on its
//! own thread; its random numbers come from a seed and its faults from settings.
//!
//! ```
//! use dunlinspread_fakes::{FakeRegistry, FakeWorkerPool, PlatformSettings, WorkerPoolFaults};
//!
//! let platform = PlatformSettings::rounds(6);
//! let pool = FakeWorkerPool::start(&platform, 1, WorkerPoolFaults::default()).expect("a free port");
//! let registry = FakeRegistry::start().expect("a free port");
//! let config = platform.config("n1", "127.0.0.1:0", pool.address(), registry.address(), None);
//! assert!(config.contains("\"pour-entry\""));
//! ```
#![forbid(unsafe_code)]

mod clients;
mod clock;
mod collector;
mod fake_server;
mod http;
mod platform;
mod registry;
mod reserved_address;
mod run_result;
mod upstream;
mod worker_pool;

pub use clients::{AttemptOutcome, ClientBehavior, FakeClients, Load, OutcomeCounts, Progress, Tally};
pub use clock::unix_ms;
pub use collector::{CollectorCounts, FakeCollector};
pub use platform::{PlatformSettings, RequestClass};
pub use registry::{FakeRegistry, RegistryReport};
pub use reserved_address::ReservedAddress;
pub use upstream::{FakeUpstream, UpstreamFaults};
pub use worker_pool::{FakeWorkerPool, RequestEnds, StartedRun, WorkerPoolFaults, WrongReply};
