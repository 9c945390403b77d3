//! Exploration of states. The state machines cannot be cloned, so a state is the list of steps that led to
//! it, replayed from the start, together with a fingerprint. Two states are equal if their fingerprints are.
//!
//! The fingerprint contains the durable history, the changes proposed and not yet written, each client's
//! position, table and table in force, whether it will fetch a whole snapshot, the bounds of both logs, and
//! all messages of each open connection. It omits clocks, counters and session numbers, which do not affect
//! this model (no timeout expires and every delay is the shortest one), and the progress of the zones.

use super::fault::Fault;
use super::links::Server;
use super::world::{Checks, Step, World};
use std::hash::{Hash, Hasher};

/// Bounds of the exploration: the setup and the number of steps of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub subscribers: usize,
    /// Servers that a subscriber may watch, the nearest first.
    pub servers: &'static [Server],
    /// Whether the model starts with all sessions open and all clients at the publisher's first position.
    /// Otherwise it starts with empty clients and their connection attempts.
    pub connected: bool,
    pub changes: u8,
    /// Number of publisher crashes.
    pub crashes: u8,
    pub relay_restarts: u8,
    pub breaks: u8,
    pub heartbeats: u8,
}

/// The model: its bounds and the fault that it injects.
#[derive(Debug)]
pub struct Distribution {
    pub bounds: Bounds,
    pub fault: Fault,
}

/// The part of a state's fingerprint that describes one client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClientFingerprint {
    pub position: (u64, u64),
    pub table: u128,
    pub in_force: u64,
    pub fetches_whole: bool,
    pub link: Option<u64>,
}

/// Fingerprint of a state, by which states are compared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint {
    /// Values of the changes on disk.
    pub disk: Vec<u64>,
    /// Values of the changes given to the disk and not written yet.
    pub under_way: Vec<u64>,
    pub head: u64,
    pub log_bases: [u64; 2],
    pub proposed: u8,
    pub crashes: u8,
    pub relay_restarts: u8,
    pub breaks: u8,
    pub heartbeats: u8,
    pub clients: Vec<ClientFingerprint>,
    pub checks: Checks,
}

/// A state and the steps that lead to it.
#[derive(Clone, Debug)]
pub struct State {
    pub steps: Vec<Step>,
    pub possible: Vec<Step>,
    pub fingerprint: Fingerprint,
    /// Number of snapshots that subscribers applied in these steps.
    pub snapshots: u64,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint.hash(hasher);
    }
}

impl Distribution {
    /// Replays the steps from the start.
    pub fn replay(&self, steps: Vec<Step>) -> State {
        let mut world = World::new(self.bounds, self.fault);
        for step in &steps {
            world.step(*step);
        }
        State {
            possible: world.possible(),
            fingerprint: world.fingerprint(),
            snapshots: world.snapshots(),
            steps,
        }
    }
}
