//! Error of the HTTP decoder.

/// Reason why bytes can't be decoded as an HTTP reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The head is not a valid HTTP/1 reply head.
    #[error("invalid HTTP/1 reply head")]
    InvalidHead,
    /// The head or body exceeds its length limit.
    #[error("reply too long")]
    TooLong,
    /// A body length or chunk is malformed, or the stated lengths contradict each other.
    #[error("invalid body length or chunk in reply")]
    InvalidLength,
}
