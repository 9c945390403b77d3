//! The cases that the scenarios are measured in.

/// The size and the seed of a fleet that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Case {
    /// Members of the fleet.
    pub size: u64,
    /// The seed of the simulated network.
    pub seed: u64,
}
