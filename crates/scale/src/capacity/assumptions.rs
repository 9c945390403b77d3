//! What the capacity page assumes and nobody has measured. Each figure made from one of these is marked as assumed.

/// Servers that a caller is connected to.
pub const SUBSET: f64 = 20.0;
/// Lease of fleet limits, s.
pub const LEASE_SECONDS: f64 = 2.0;
/// Lease requests of a server for each budget in a lease.
pub const REQUESTS_PER_LEASE: f64 = 4.0;
/// Fleet-wide budgets that a server takes part in: one a class, of some twenty classes.
pub const BUDGETS_OF_CLASSES: f64 = 20.0;
/// Work of the machine for a new connection, ms: between the 28 and 48 that the operators state for today's site.
pub const CONNECTION_WORK_MS: f64 = 38.0;
/// Cores of a round server's machine that runs use.
pub const POOL_CORES: f64 = 6.0;
/// Time within which callers that reconnect are to be served again, s.
pub const RECONNECT_SECONDS: f64 = 30.0;
/// Requests from one request to the next tier.
pub const CALLS_PER_REQUEST: f64 = 1.0;
/// Network of a control machine in one direction, bytes a second: 1 Gbit/s.
pub const CONTROL_MACHINE_BYTES_PER_SECOND: f64 = 125.0e6;
/// Cores of a control machine.
pub const CONTROL_MACHINE_CORES: f64 = 8.0;
/// Memory of a control machine, bytes: 24 GiB.
pub const CONTROL_MACHINE_MEMORY_BYTES: f64 = 24.0 * 1024.0 * 1024.0 * 1024.0;
/// Length of a period of the usage ledger, s.
pub const LEDGER_PERIOD_SECONDS: f64 = 900.0;
/// Tenants seen by one server in a period: 282 requests a second for 900 s touch most tenants at most once.
pub const TENANTS_PER_SERVER_AND_PERIOD: f64 = 190_000.0;
/// Relays of a region, one each.
pub const REGION_RELAYS: f64 = 6.0;
/// Relays of a zone, so that one may be lost.
pub const RELAYS_OF_A_ZONE: f64 = 2.0;
/// Seconds after a cold zone's start within which its servers should have the whole configuration.
pub const COLD_ZONE_SECONDS: f64 = 60.0;
