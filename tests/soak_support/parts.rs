//! The parts of a soak, each of which can be left out to find what a failure needs.

use std::collections::BTreeSet;

/// The variable that names the parts to leave out, separated by commas.
const VARIABLE: &str = "SOAK_WITHOUT";

/// A part of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Bad clients beside the good ones.
    Crowd,
    /// SIGHUP, and SIGSTOP with SIGCONT.
    Signals,
    /// Evacuation and its end.
    Evacuation,
    /// Upgrades.
    Upgrades,
    /// Kills of a process.
    Kills,
    /// Faults of the registry, of the worker pool, and moved addresses.
    Peers,
    /// Bursts of requests.
    Bursts,
}

/// The parts with the names that the variable uses.
const NAMES: [(&str, Part); 7] = [
    ("crowd", Part::Crowd),
    ("signals", Part::Signals),
    ("evacuation", Part::Evacuation),
    ("upgrades", Part::Upgrades),
    ("kills", Part::Kills),
    ("peers", Part::Peers),
    ("bursts", Part::Bursts),
];

/// The parts that are left out.
#[derive(Clone, Debug, Default)]
pub struct LeftOut(BTreeSet<Part>);

impl LeftOut {
    /// Returns the parts that the environment names.
    ///
    /// # Panics
    /// If it names one that does not exist.
    pub fn from_environment() -> LeftOut {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        LeftOut(names.map(part_of_name).collect())
    }

    /// Returns whether a part is played.
    pub fn plays(&self, part: Part) -> bool {
        !self.0.contains(&part)
    }
}

fn part_of_name(name: &str) -> Part {
    let known = NAMES.iter().find(|(known, _)| *known == name);
    known.map(|(_, part)| *part).unwrap_or_else(|| panic!("{VARIABLE}: no part {name}, only {NAMES:?}"))
}
