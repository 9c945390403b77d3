//! Assumptions of the capacity page that have not been measured. Each figure computed from one of them is
//! marked as assumed.

/// Number of servers that a caller is connected to.
pub const SUBSET: f64 = 20.0;
/// Duration of a lease of fleet limits, s.
pub const LEASE_SECONDS: f64 = 2.0;
/// Number of lease requests that a server makes for each budget during one lease.
pub const REQUESTS_PER_LEASE: f64 = 4.0;
/// Number of fleet-wide budgets that a server takes part in: one per class, with about twenty classes.
pub const BUDGETS_OF_CLASSES: f64 = 20.0;
/// Processor time that a machine spends on a new connection, ms: between the 28 and 48 that the operators
/// state for today's site.
pub const CONNECTION_WORK_MS: f64 = 38.0;
/// Number of cores of a round server's machine that are used by runs.
pub const POOL_CORES: f64 = 6.0;
/// Time within which reconnecting callers must be served again, s.
pub const RECONNECT_SECONDS: f64 = 30.0;
/// Number of calls to the next tier caused by one request.
pub const CALLS_PER_REQUEST: f64 = 1.0;
/// Network bandwidth of a control machine in one direction, bytes per second: 1 Gbit/s.
pub const CONTROL_MACHINE_BYTES_PER_SECOND: f64 = 125.0e6;
/// Number of cores of a control machine.
pub const CONTROL_MACHINE_CORES: f64 = 8.0;
/// Memory of a control machine, bytes: 24 GiB.
pub const CONTROL_MACHINE_MEMORY_BYTES: f64 = 24.0 * 1024.0 * 1024.0 * 1024.0;
/// Length of a period of the usage ledger, s.
pub const LEDGER_PERIOD_SECONDS: f64 = 900.0;
/// Number of tenants seen by one server in a period: 282 requests per second for 900 s reach most tenants at
/// most once.
pub const TENANTS_PER_SERVER_AND_PERIOD: f64 = 190_000.0;
/// Number of region relays in the fleet: one per region.
pub const REGION_RELAYS: f64 = 6.0;
/// Number of relays per zone, so that one may be lost.
pub const RELAYS_OF_A_ZONE: f64 = 2.0;
/// Time after the start of a cold zone within which its servers should have the whole configuration, s.
pub const COLD_ZONE_SECONDS: f64 = 60.0;
