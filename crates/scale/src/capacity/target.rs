//! Size of the fleet that the operators plan for, and the resource limits of its parts.

/// Number of round servers.
pub const SERVERS: f64 = 7_100.0;
/// Number of callers (client proxies).
pub const CALLERS: f64 = 150_000.0;
/// Number of services behind the round servers.
pub const SERVICES: f64 = 3_000.0;
/// Requests per second over the whole fleet at the peak.
pub const REQUESTS_PER_SECOND: f64 = 2_000_000.0;
/// Number of routes.
pub const ROUTES: f64 = 64_000.0;
/// Number of tenants.
pub const TENANTS: f64 = 390_000.0;
/// Latency that a round server may add to a request at the 99th percentile, ms.
pub const ADDED_MS_P99: f64 = 3.4;
/// Number of regions.
pub const REGIONS: f64 = 6.0;
/// Number of zones.
pub const ZONES: f64 = 16.0;
/// Number of round servers in one zone.
pub const SERVERS_OF_A_ZONE: f64 = 444.0;
/// Number of round servers in one rack.
pub const SERVERS_OF_A_RACK: f64 = 40.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 22_000.0;
/// Rate of a burst of changes, as a multiple of the mean rate.
pub const CHANGE_BURST: f64 = 100.0;
/// Time within which a change must be in force everywhere, ms.
pub const IN_FORCE_MS: f64 = 6_000.0;
/// Share of one core that a round server may spend on control.
pub const CONTROL_CORE_SHARE: f64 = 0.011;
/// Memory that a round server may spend on control, bytes.
pub const CONTROL_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
/// Network bytes per second that a round server may spend on control.
pub const CONTROL_BYTES_PER_SECOND: f64 = 9_000.0;
/// Number of machines reserved for control.
pub const CONTROL_MACHINES: f64 = 43.0;
/// Number of machines that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 300.0;
/// Number of round servers restarted or replaced on an ordinary day.
pub const REPLACEMENTS_PER_DAY: f64 = 44_000.0;
/// Seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Requests per second at one round server.
pub const REQUESTS_PER_SERVER: f64 = REQUESTS_PER_SECOND / SERVERS;
/// Mean number of configuration changes per second.
pub const CHANGES_PER_SECOND: f64 = CHANGES_PER_DAY / SECONDS_PER_DAY;
