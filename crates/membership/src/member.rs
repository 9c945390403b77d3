//! Members, their states, and the changes of a view.

use foca::{Identity, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The identity of one start of one round server.
///
/// The same address with a later start is a new member, and the old one is gone for good. Its encoding is part of the
/// datagrams: the order and the types of the fields stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Where its peer socket listens (UDP).
    pub address: SocketAddrV4,
    /// When this start began, as the server counts starts (a wall-clock ms or a counter kept on disk): later is newer.
    pub start: u64,
    /// How often this start was declared down while it was still running, and rejoined. Not the number that SWIM raises
    /// to refute a suspicion, which the state machine keeps to itself.
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
    /// Answers probes.
    Alive,
    /// Missed a probe and its indirect probes; declared down after `suspect_to_down` unless it refutes.
    Suspect,
    /// Declared down.
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

/// A change of the view, in the order it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A member is up.
    Up(MemberId),
    /// A member was declared down.
    Down(MemberId),
    /// A newer start (or a rejoin) took the place of an older one at the same address.
    Replaced {
        /// The older one.
        old: MemberId,
        /// The newer one.
        new: MemberId,
    },
    /// This member is known by at least one other.
    Active,
    /// This member knows of no other that is up.
    Idle,
    /// This member was declared down and rejoined under a new incarnation.
    Rejoined(MemberId),
}
