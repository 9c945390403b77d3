//! The error of bytes that are no reply.

/// Why bytes are no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The head is no head of HTTP/1.
    #[error("no HTTP/1 reply")]
    BadHead,
    /// The head or body is past its limit.
    #[error("reply too long")]
    TooLong,
    /// A length or chunk size that can't be read.
    #[error("bad length in a reply")]
    BadLength,
}
