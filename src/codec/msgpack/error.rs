//! Error of the MessagePack decoder.

/// Reason why bytes can't be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The message is longer than [`MAX_MESSAGE_BYTES`](super::MAX_MESSAGE_BYTES) or has too many values.
    #[error("message too long")]
    TooLong,
    /// The message is nested too deeply.
    #[error("message nested too deeply")]
    TooDeep,
    /// A byte in the place of a type marker is no valid marker.
    #[error("invalid MessagePack")]
    InvalidMarker,
}
