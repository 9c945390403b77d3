//! The error of bytes that are no message.

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Longer than [`MAX_MESSAGE`](super::MAX_MESSAGE), or too many values.
    #[error("message too long")]
    TooLong,
    /// Nested too deep.
    #[error("message nested too deep")]
    TooDeep,
    /// A byte that begins no value.
    #[error("no MessagePack")]
    BadByte,
}
