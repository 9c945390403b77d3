//! Messages about a handover between two processes of this server.

use async_channel::Sender;
use dunlinspread_handover::{KeyRecord, PredecessorInput, ToPredecessor, ToSuccessor};
use std::os::fd::OwnedFd;

/// A frame for the successor.
#[derive(Debug)]
pub struct SuccessorFrame {
    /// Message in the frame.
    pub message: ToSuccessor,
    /// File descriptor that is sent with the frame, if any.
    pub descriptor: Option<OwnedFd>,
}

/// A message about the successor, to the dispatcher of the process that hands over.
#[derive(Debug)]
pub enum SuccessorMessage {
    /// A successor connected. Frames for it are sent to this queue; dropping the sender closes the link.
    Connected(Sender<SuccessorFrame>),
    /// The successor took a step of the handover.
    Step(PredecessorInput),
    /// The successor sent a frame that is not a step of the handover.
    Frame(ToPredecessor),
    /// The link to the successor ended. All frames received over it have been delivered.
    Disconnected,
    /// The step timer with this number expired.
    TimedOut(u64),
    /// The process ends, and responses of the successor can no longer be sent to clients: fail all forwarded
    /// requests.
    FailForwarded,
}

/// A message about the predecessor, to the dispatcher of the process that takes over.
#[derive(Debug)]
pub enum PredecessorMessage {
    /// The predecessor accepted this process as its successor, and sent the state that the two share.
    Welcome {
        /// Secret key of the predecessor's body hash.
        body_hash_key: [u8; 32],
        /// Whether an operator has evacuated the server.
        evacuated: bool,
    },
    /// A piece of the snapshot of the idempotency keys was received.
    LoadKeys {
        /// Records of the keys.
        records: Vec<KeyRecord>,
        /// Receives whether all keys were loaded. It must have capacity for this one message.
        loaded: Sender<bool>,
    },
    /// Discard all loaded keys.
    DiscardKeys,
    /// This process owns the keys and decides on requests from now on. Frames for the predecessor, if there
    /// is one, are sent to this queue.
    BecomeOwner(Option<Sender<ToPredecessor>>),
    /// The predecessor sent a frame that is not a step of the handover.
    Frame(ToSuccessor),
    /// The link to the predecessor ended. All frames received over it have been delivered.
    Gone,
    /// The predecessor ended before the commit, and its keys are unknown to this process.
    KeysUnknown,
}
