//! The error of bytes that are no message.

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Longer than [`MAX_MESSAGE`](super::MAX_MESSAGE), or too many values.
    TooLong,
    /// Nested too deep.
    TooDeep,
    /// A byte that begins no value.
    BadByte,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::TooLong => "message too long",
            Error::TooDeep => "message nested too deep",
            Error::BadByte => "no MessagePack",
        })
    }
}
