//! Rules of a world: the faults injected into the state machines, and bounds on the number of events.

use dunlinspread_handover::{Fault, ServerIdentity};

/// Injected faults and bounds of a world.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Fault injected into the predecessor.
    pub predecessor_fault: Fault,
    /// Fault injected into all successors.
    pub successor_fault: Fault,
    /// Whether a predecessor that took its keys back sends `KeysUnknown` to the next successor.
    pub sends_keys_unknown: bool,
    /// Number of keys of which attempts arrive, in addition to [`FIRST_KEYS`].
    pub new_keys: u8,
    /// Number of successors that are started.
    pub starts: usize,
    /// Number of times that one successor connects.
    pub connections: u8,
    /// Number of crashes of a process.
    pub crashes: u8,
    /// Number of cuts of a link between live processes.
    pub cuts: u8,
    /// Whether links may also be cut after a successor has read the commit. Callers of the real state
    /// machines have to prevent this.
    pub cuts_after_commit: bool,
    /// Number of timers that expire while other steps are possible.
    pub timeouts: u8,
    /// Whether the predecessor may be requested to shut down.
    pub shutdown: bool,
}

/// The keys that the predecessor has from the start. They make more than one snapshot piece.
pub const FIRST_KEYS: [u8; 2] = [0, 1];

/// Returns the identity of all processes.
pub fn identity() -> ServerIdentity {
    ServerIdentity { name: "s".into(), classes: vec!["c".into()], tenants: Vec::new() }
}
