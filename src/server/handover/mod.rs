//! The socket between two processes of one server during an upgrade.
//!
//! The predecessor listens in a [`HandoverDirectory`], the successor connects there, and both exchange frames of bytes,
//! beside any of which a file descriptor may travel. What the frames mean is not known here.
//!
//! # Invariants
//! - Only processes of the same user are connected.
//! - A file that a killed process left behind does no harm, and no file of a living listener is removed.
//! - All frames that can still be read are delivered before the end of a link.

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
