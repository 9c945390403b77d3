//! Unix socket transport between two processes of one server during an upgrade.
//!
//! The predecessor listens in a [`HandoverDirectory`] and the successor connects there. Both exchange byte
//! frames, each of which can carry a file descriptor. This module does not interpret the content of frames.
//!
//! # Invariants
//! - Only processes of the same user are connected.
//! - Stale files of a killed process are harmless, and the file of a live listener is never removed.
//! - All frames that can still be read are delivered before [`LinkEvent::Closed`].

mod directory;
mod error;
mod frame;
mod link;
mod socket;
mod stream;

pub use directory::HandoverDirectory;
pub use error::HandoverSocketError;
pub use frame::{MAX_FRAME_BYTES, OutgoingFrame, ReceivedFrame};
pub use link::{LinkEvent, run_link};
pub use socket::{HandoverListener, connect};
pub use stream::HandoverStream;
