//! Messages about a handover between two processes of this server.

use async_channel::Sender;
use dunlinspread_handover::{KeyRecord, PredecessorInput, ToPredecessor, ToSuccessor};
use std::os::fd::OwnedFd;

/// A frame for the successor.
#[derive(Debug)]
pub struct SuccessorFrame {
    /// What it says.
    pub message: ToSuccessor,
    /// The descriptor that travels beside it.
    pub descriptor: Option<OwnedFd>,
}

/// A message to the dispatcher of the process that hands over.
#[derive(Debug)]
pub enum SuccessorMessage {
    /// A successor connected. Frames for it go into this queue; its end closes the link.
    Connected(Sender<SuccessorFrame>),
    /// A step of the handover by the successor.
    Step(PredecessorInput),
    /// Any other frame of the successor.
    Frame(ToPredecessor),
    /// The link to the successor ended; all its frames have been passed on.
    Disconnected,
    /// The time limit of the step with this number is over.
    TimedOut(u64),
    /// The process ends: no response of the successor can be passed on any more.
    FailForwarded,
}

/// A message to the dispatcher of the process that takes over.
#[derive(Debug)]
pub enum PredecessorMessage {
    /// The predecessor's key of the hash of bodies, and whether operators evacuated it.
    Welcome {
        /// The key.
        body_hash_key: [u8; 32],
        /// Whether the server is evacuated.
        evacuated: bool,
    },
    /// A piece of the snapshot of the keys.
    LoadKeys {
        /// The keys.
        records: Vec<KeyRecord>,
        /// Receives whether all of them were loaded; it has room for it.
        loaded: Sender<bool>,
    },
    /// Whatever was loaded is dropped.
    DiscardKeys,
    /// This process decides from now on; frames for the predecessor, if there is one, go into this queue.
    BecomeOwner(Option<Sender<ToPredecessor>>),
    /// A frame of the predecessor.
    Frame(ToSuccessor),
    /// The link to the predecessor ended; all its frames have been passed on.
    Gone,
    /// The predecessor ended before the commit: its keys are unknown here.
    KeysUnknown,
}
