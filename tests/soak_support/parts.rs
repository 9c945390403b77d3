//! The parts of a soak run, each of which can be excluded to find which of them a failure needs.

use std::collections::BTreeSet;

/// The variable that lists the parts to exclude, separated by commas.
const VARIABLE: &str = "SOAK_WITHOUT";

/// A part of a soak run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Misbehaving clients beside the regular ones.
    Crowd,
    /// SIGHUP, and SIGSTOP with SIGCONT.
    Signals,
    /// Evacuations, each with the rejoin that ends it.
    Evacuation,
    /// Upgrades.
    Upgrades,
    /// Kills of a process.
    Kills,
    /// Faults of the registry and of the worker pool, and address changes of peers.
    Peers,
    /// Bursts of requests.
    Bursts,
}

/// The parts, each with its name in the variable.
const NAMES: [(&str, Part); 7] = [
    ("crowd", Part::Crowd),
    ("signals", Part::Signals),
    ("evacuation", Part::Evacuation),
    ("upgrades", Part::Upgrades),
    ("kills", Part::Kills),
    ("peers", Part::Peers),
    ("bursts", Part::Bursts),
];

/// The excluded parts.
#[derive(Clone, Debug, Default)]
pub struct ExcludedParts(BTreeSet<Part>);

impl ExcludedParts {
    /// Returns the parts that the environment names.
    ///
    /// # Panics
    /// Panics if the variable names an unknown part.
    pub fn from_environment() -> ExcludedParts {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        ExcludedParts(names.map(part_of_name).collect())
    }

    /// Returns whether a part is included.
    pub fn includes(&self, part: Part) -> bool {
        !self.0.contains(&part)
    }
}

fn part_of_name(name: &str) -> Part {
    let known = NAMES.iter().find(|(known, _)| *known == name);
    known
        .map(|(_, part)| *part)
        .unwrap_or_else(|| panic!("{VARIABLE}: unknown part {name}, expected {NAMES:?}"))
}
