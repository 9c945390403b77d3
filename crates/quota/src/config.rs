//! Settings of a fleet-wide limit.

use crate::fault::Fault;

/// Milliseconds of a monotonic clock. Only differences are meaningful.
pub type Millis = u64;

/// Number of parts in a whole, for shares of the budget in parts per million without floating point.
pub const MILLION: u64 = 1_000_000;

/// The settings of a fleet-wide limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Units for the whole fleet (requests per second, or requests in flight). 1 to 10^12.
    pub budget: u64,
    /// Duration of a lease, measured from the holder's request, in ms. 100 to 600,000. The setting `lease`.
    pub lease_ms: Millis,
    /// The part of the budget that is split among the members as guaranteed minimums, in parts per million (0
    /// to 1,000,000). 1,000,000 makes the split fixed. The setting `floor_share`.
    pub guaranteed_share_ppm: u64,
    /// Maximum number of members in a view; further members are refused. 1 to 100,000.
    pub max_members: usize,
    /// Tolerated drift between two members' clocks over a lease, in parts per million (0 to 100,000). The
    /// side that must stop first stops this much early. The setting `drift`.
    pub clock_drift_ppm: u64,
    /// A safety check to disable in tests. Has no effect without the `test-faults` feature.
    pub fault: Fault,
}

/// A setting whose value is out of range.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("quota setting `{key}` is {value}, wanted {range}")]
pub struct ConfigError {
    /// Name of the setting in the operator file.
    pub key: &'static str,
    /// Configured value.
    pub value: u64,
    /// Allowed range.
    pub range: &'static str,
}

impl Config {
    /// Checks every setting against its range.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the first setting that is out of range.
    pub fn check(&self) -> Result<(), ConfigError> {
        check_range("budget", self.budget, 1..=1_000_000_000_000, "1 to 10^12")?;
        check_range("lease", self.lease_ms, 100..=600_000, "100 to 600000 ms")?;
        let shares = 0..=MILLION;
        check_range("floor_share", self.guaranteed_share_ppm, shares, "0 to 1000000 parts per million")?;
        check_range("max_members", self.max_members as u64, 1..=100_000, "1 to 100000")?;
        check_range("drift", self.clock_drift_ppm, 0..=100_000, "0 to 100000 parts per million")
    }

    /// Returns the units that each of `members` members may use without a lease.
    pub fn guaranteed_minimum(&self, members: usize) -> u64 {
        let members = members.max(1) as u128;
        let guaranteed =
            u128::from(self.budget) * u128::from(self.guaranteed_share_ppm) / u128::from(MILLION);
        (guaranteed / members) as u64
    }

    /// Returns the units available for leases among `members` members: the budget less all guaranteed
    /// minimums.
    pub fn pool(&self, members: usize) -> u64 {
        self.budget - self.guaranteed_minimum(members) * members.max(1) as u64
    }

    /// Returns the lease less the margin for clock drift, in ms. This is the duration that applies on the
    /// side that must stop first.
    pub fn drift_adjusted_lease_ms(&self) -> Millis {
        let scaled = u128::from(self.lease_ms) * u128::from(self.clock_drift_ppm);
        let margin = scaled.div_ceil(u128::from(MILLION)) as u64;
        self.lease_ms - margin
    }
}

fn check_range(
    key: &'static str,
    value: u64,
    allowed: std::ops::RangeInclusive<u64>,
    range: &'static str,
) -> Result<(), ConfigError> {
    if allowed.contains(&value) { Ok(()) } else { Err(ConfigError { key, value, range }) }
}
