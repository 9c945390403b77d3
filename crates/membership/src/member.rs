//! Member identities, member states, and changes of a view.

use foca::{Identity, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The identity of one start of one round server.
///
/// The same address with a later start is a new member, which replaces the old one permanently. The encoding
/// of this type is part of the datagram format, so the order and the types of the fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// UDP address of the member's peer socket.
    pub address: SocketAddrV4,
    /// Start number chosen by the server (a wall-clock time in ms or a counter kept on disk). A higher number
    /// is newer.
    pub start: u64,
    /// Number of times this start was declared down while it was still running, and rejoined. It is not the
    /// SWIM incarnation number that a member raises to refute a suspicion; that one is internal to the state
    /// machine.
    pub incarnation: u16,
}

impl Identity for MemberId {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation.wrapping_add(1), ..*self })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.start, self.incarnation) > (adversary.start, adversary.incarnation)
    }
}

/// The state of a member in one view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed a probe and its indirect probes. It is declared down after `suspect_to_down` unless
    /// it refutes the suspicion.
    Suspect,
    /// The member was declared down.
    Down,
}

impl From<State> for MemberState {
    fn from(state: State) -> MemberState {
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down => MemberState::Down,
        }
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A member came up.
    Up(MemberId),
    /// A member was declared down.
    Down(MemberId),
    /// A newer start (or a rejoin) replaced an older one at the same address.
    Replaced {
        /// Identity that was replaced.
        old: MemberId,
        /// Identity that replaces it.
        new: MemberId,
    },
    /// At least one other member knows this member.
    Active,
    /// This member knows of no other member that is up.
    Idle,
    /// This member was declared down and rejoined under a new incarnation.
    Rejoined(MemberId),
}
