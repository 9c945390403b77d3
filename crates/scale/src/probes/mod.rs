//! The probes: each measures the slopes of one part. Add a new probe to [`all`], and its child loads to
//! [`child_loads`] or [`reporting_loads`].

mod admission;
mod admission_load;
mod config_sync;
mod daemon_client;
mod daemon_connections;
mod daemon_process;
mod daemon_site;
mod daemon_tables;
mod idempotency;
mod latency;
mod ledger;
mod membership;
pub mod open_loop;
mod probe;
mod quota;
mod registry;
mod registry_lists;
mod registry_server;
mod sample;
mod store;

use crate::child_process::{Load, ReportingLoad};

pub use probe::{Probe, ProbeOptions, SEEDS};

/// Returns all probes.
pub fn all() -> Vec<Box<dyn Probe>> {
    vec![
        Box::new(admission::AdmissionProbe),
        Box::new(daemon_tables::TablesProbe),
        Box::new(daemon_connections::ConnectionsProbe),
        Box::new(latency::LatencyProbe),
        Box::new(registry::RegistryProbe),
        Box::new(config_sync::ConfigSyncProbe),
        Box::new(membership::MembershipProbe),
        Box::new(idempotency::IdempotencyProbe),
        Box::new(ledger::LedgerProbe),
        Box::new(quota::QuotaProbe),
        Box::new(store::StoreProbe),
    ]
}

/// Returns the loads that run in a child process and return one number, by name.
pub fn child_loads() -> Vec<(&'static str, Load)> {
    vec![
        (config_sync::LOAD, config_sync::table_load),
        (membership::VIEW_LOAD, membership::view_load),
        (idempotency::LOAD, idempotency::table_load),
        (quota::MEMBERS_LOAD, quota::members_load),
        (quota::BUDGETS_LOAD, quota::budgets_load),
    ]
}

/// Returns the loads that run in a child process and return a report of several measurements, by name.
pub fn reporting_loads() -> Vec<(&'static str, ReportingLoad)> {
    let mut loads: Vec<(&'static str, ReportingLoad)> = vec![
        (membership::SCENARIOS_LOAD, membership::scenarios_load),
        (membership::SINGLE_LOAD, membership::single_load),
    ];
    loads.extend(admission::reporting_loads());
    loads
}
