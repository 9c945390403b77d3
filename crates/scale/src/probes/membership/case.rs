//! Parameters of a simulated fleet in which the scenarios are measured.

/// Size and seed of a measured fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Case {
    /// Number of members in the fleet.
    pub size: u64,
    /// Seed of the simulated network.
    pub seed: u64,
}
