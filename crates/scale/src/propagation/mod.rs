//! The command `propagation`: distribution of configuration at the size of the target fleet, on loopback sockets with the
//! real publisher, relays and subscribers, while changes flow and faults happen by seed.
//!
//! One process is the publisher, one each relay, one the subscribers of each zone, and one the proxy of each region,
//! through which everything passes that leaves the region. Each subscriber records what it has in force; the verdict
//! ([`judge`]) follows from these records alone. When a subscriber counts as reachable is said in [`outage`].

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
    /// Hollow subscribers.
    #[arg(long, default_value_t = 7_100)]
    pub subscribers: usize,
    /// Relays of both levels.
    #[arg(long, default_value_t = 43)]
    pub relays: usize,
    /// Real daemons among them, in a zone of their own.
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
    /// Transactions to publish while faults happen.
    #[arg(long, default_value_t = 480)]
    pub changes: u64,
    /// Transactions a second between bursts, which have 25 a second.
    #[arg(long, default_value_t = 5.0)]
    pub rate: f64,
    /// Seed of the table, the changes, the faults and all jitter.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The longest time that a change may take to be in force at a subscriber that can be reached, ms.
    #[arg(long, default_value_t = report::IN_FORCE_LIMIT_MS)]
    pub in_force_limit_ms: u64,
    /// Print JSON on one line.
    #[arg(long)]
    pub json: bool,
    /// Keep the logs and records of the processes in this directory, which must be empty or new.
    #[arg(long, value_name = "DIRECTORY")]
    pub keep: Option<std::path::PathBuf>,
}
