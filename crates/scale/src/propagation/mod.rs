//! The command `propagation`: an experiment that distributes configuration at the size of the target fleet,
//! on loopback sockets with the real publisher, relays and subscribers, while changes are published and
//! faults injected by a seed.
//!
//! The publisher, each relay, the subscribers of each zone and the proxy of each region have a process of
//! their own. All traffic that leaves a region passes through the region's proxy. Each subscriber records
//! what it has in force, and the verdict ([`judge`]) follows from these records alone. [`outage`] defines
//! when a subscriber counts as reachable.

pub mod changes;
mod cluster;
pub mod control;
mod coordinator;
mod daemons;
pub mod dataset;
pub mod fault_proxy;
pub mod faults;
mod flow;
mod garbage;
pub mod history;
pub mod judge;
mod node;
pub mod outage;
pub mod pace;
mod process;
mod readiness;
pub mod record;
mod report;
mod servers;
mod supervisor;
pub mod topology;

pub use coordinator::run;
pub use daemons::DAEMON_COMMAND;
pub use node::run as run_node;
pub use supervisor::NODE_COMMAND;

/// Options of `propagation`.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Client-only subscribers.
    #[arg(long, default_value_t = 7_100)]
    pub subscribers: usize,
    /// Relays of both levels.
    #[arg(long, default_value_t = 43)]
    pub relays: usize,
    /// Real daemons that subscribe as well, in a zone of their own.
    #[arg(long, default_value_t = 0)]
    pub daemons: usize,
    /// Tenants in the table.
    #[arg(long, default_value_t = 390_000)]
    pub tenants: usize,
    /// Routes in the table.
    #[arg(long, default_value_t = 64_000)]
    pub routes: usize,
    /// Classes with a limit in the table.
    #[arg(long, default_value_t = 256)]
    pub classes: usize,
    /// Regions.
    #[arg(long, default_value_t = 6)]
    pub regions: usize,
    /// Zones.
    #[arg(long, default_value_t = 16)]
    pub zones: usize,
    /// Transactions to publish while faults are injected.
    #[arg(long, default_value_t = 480)]
    pub changes: u64,
    /// Transactions per second between bursts, which have 25 per second.
    #[arg(long, default_value_t = 5.0)]
    pub rate: f64,
    /// Seed of the table, the changes, the faults and all jitter.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Longest allowed time until a change is in force at a reachable subscriber, ms.
    #[arg(long, default_value_t = report::IN_FORCE_LIMIT_MS)]
    pub in_force_limit_ms: u64,
    /// Print JSON on one line.
    #[arg(long)]
    pub json: bool,
    /// Keep the logs and records of the processes in this directory, which must be empty or new.
    #[arg(long, value_name = "DIRECTORY")]
    pub keep: Option<std::path::PathBuf>,
}
