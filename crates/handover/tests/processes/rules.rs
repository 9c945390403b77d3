//! What a run of the world may do: faults left in the machines, and bounds on what happens.

use dunlinspread_handover::{Fault, ServerIdentity};

/// The bounds and faults of a world.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The predecessor's fault.
    pub predecessor_fault: Fault,
    /// The successors' fault.
    pub successor_fault: Fault,
    /// Whether a predecessor that took its keys back tells the next successor that keys may be unknown.
    pub tells_unknown_keys: bool,
    /// Keys of which attempts arrive, beside those that the predecessor has from the start.
    pub new_keys: u8,
    /// How many successors are started.
    pub starts: usize,
    /// How often one successor connects.
    pub connections: u8,
    /// How often a process crashes.
    pub crashes: u8,
    /// How often a link is cut between living processes.
    pub cuts: u8,
    /// Whether a link is cut also after a successor has read the commit, which the callers have to exclude.
    pub cuts_after_commit: bool,
    /// How often a timer runs out.
    pub timeouts: u8,
    /// Whether the predecessor may be asked to end.
    pub shutdown: bool,
}

/// The keys that the predecessor has from the start: more than one piece.
pub const FIRST_KEYS: [u8; 2] = [0, 1];

/// The identity of all processes.
pub fn identity() -> ServerIdentity {
    ServerIdentity { name: "s".into(), classes: vec!["c".into()], tenants: Vec::new() }
}
