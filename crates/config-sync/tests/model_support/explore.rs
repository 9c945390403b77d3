//! How states are explored. The machines can't be cloned, so a state is the list of steps that led to it, which are
//! played again from the start, and a digest of what matters; two states are the same when that digest is.
//!
//! The digest holds the durable history, what was proposed and not written, each client's position, table and table in
//! force, whether it will fetch a snapshot whole, the bounds of both logs, and all that was said on each open
//! connection. Left out: clocks, counters and numbers of sessions, on which nothing in this model hangs (no time-out
//! comes due, every delay is the least one), and the tables of the progress of zones.

use super::fault::Fault;
use super::links::Server;
use super::world::{Judged, Step, World};
use std::hash::{Hash, Hasher};

/// How much happens at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub subscribers: usize,
    /// What a subscriber watches, the nearest first.
    pub servers: &'static [Server],
    /// Whether it begins with all sessions open and all at the publisher's first position, and not with nothing and the
    /// attempts to connect.
    pub connected: bool,
    pub changes: u8,
    /// Crashes of the publisher.
    pub crashes: u8,
    pub relay_restarts: u8,
    pub breaks: u8,
    pub heartbeats: u8,
}

/// The model.
#[derive(Debug)]
pub struct Distribution {
    pub bounds: Bounds,
    pub fault: Fault,
}

/// What of a client tells states apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClientSeen {
    pub position: (u64, u64),
    pub table: u128,
    pub in_force: u64,
    pub fetches_whole: bool,
    pub link: Option<u64>,
}

/// What tells states apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seen {
    /// The numbers of the changes on disk, and of those given to the disk.
    pub disk: Vec<u64>,
    pub under_way: Vec<u64>,
    pub head: u64,
    pub log_bases: [u64; 2],
    pub proposed: u8,
    pub crashes: u8,
    pub relay_restarts: u8,
    pub breaks: u8,
    pub heartbeats: u8,
    pub clients: Vec<ClientSeen>,
    pub judged: Judged,
}

/// A state, and how it was reached.
#[derive(Clone, Debug)]
pub struct State {
    pub steps: Vec<Step>,
    pub possible: Vec<Step>,
    pub seen: Seen,
    /// Snapshots that subscribers applied on the way here.
    pub snapshots: u64,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.seen == other.seen
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.seen.hash(hasher);
    }
}

impl Distribution {
    /// Plays the steps from the start.
    pub fn replay(&self, steps: Vec<Step>) -> State {
        let mut world = World::new(self.bounds, self.fault);
        for step in &steps {
            world.step(*step);
        }
        State { possible: world.possible(), seen: world.seen(), snapshots: world.snapshots(), steps }
    }
}
