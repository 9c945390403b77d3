//! The probes: each measures the slopes of one part. A new one is added to [`all`], its child loads to [`child_loads`].

mod config_sync;
mod daemon_client;
mod daemon_connections;
mod daemon_process;
mod daemon_site;
mod daemon_tables;
mod fleet;
mod idempotency;
mod latency;
mod ledger;
pub mod open_loop;
mod policy;
mod policy_load;
mod quota;
mod registry;
mod registry_lists;
mod registry_server;
mod sample;
mod store;

use crate::child::{Load, ReportingLoad};
use crate::slope::Slope;
use anyhow::Result;

/// The seeds of every probe.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// How the probes run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeOptions {
    /// Few small sizes, one seed, one run.
    pub quick: bool,
    /// Also the run at the size of the target that checks an extrapolation, where it takes minutes.
    pub large: bool,
}

impl ProbeOptions {
    /// The seeds to use.
    pub fn seeds(&self) -> &'static [u64] {
        if self.quick { &SEEDS[..1] } else { &SEEDS }
    }

    /// How many runs at each size and seed, of `full`.
    pub fn runs(&self, full: usize) -> usize {
        if self.quick { 1 } else { full }
    }

    /// The sizes to use: all of `full`, or `quick`.
    pub fn sizes(&self, full: &'static [u64], quick: &'static [u64]) -> &'static [u64] {
        if self.quick { quick } else { full }
    }
}

/// A set of slopes of one part.
pub trait Probe {
    /// What the ids of its slopes begin with, up to the first point.
    fn prefix(&self) -> &'static str;

    /// Measures its slopes.
    ///
    /// # Errors
    /// If a load cannot be built or run.
    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>>;
}

/// All probes.
pub fn all() -> Vec<Box<dyn Probe>> {
    vec![
        Box::new(policy::PolicyProbe),
        Box::new(daemon_tables::TablesProbe),
        Box::new(daemon_connections::ConnectionsProbe),
        Box::new(latency::LatencyProbe),
        Box::new(registry::RegistryProbe),
        Box::new(config_sync::ConfigSyncProbe),
        Box::new(fleet::FleetProbe),
        Box::new(idempotency::IdempotencyProbe),
        Box::new(ledger::LedgerProbe),
        Box::new(quota::QuotaProbe),
        Box::new(store::StoreProbe),
    ]
}

/// The loads that are measured in a process of their own, by name.
pub fn child_loads() -> Vec<(&'static str, Load)> {
    vec![
        (config_sync::LOAD, config_sync::table_load),
        (fleet::VIEW_LOAD, fleet::view_load),
        (idempotency::LOAD, idempotency::table_load),
        (quota::MEMBERS_LOAD, quota::members_load),
        (quota::BUDGETS_LOAD, quota::budgets_load),
    ]
}

/// The same for loads with several figures.
pub fn reporting_loads() -> Vec<(&'static str, ReportingLoad)> {
    let mut loads: Vec<(&'static str, ReportingLoad)> =
        vec![(fleet::SCENARIOS_LOAD, fleet::scenarios_load), (fleet::SINGLE_LOAD, fleet::single_load)];
    loads.extend(policy::reporting_loads());
    loads
}
