//! The error of bytes that are no reply.

/// Why bytes are no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The head is no head of HTTP/1.
    BadHead,
    /// Head or body break their bound.
    TooLong,
    /// A length or chunk size that can't be read.
    BadLength,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::BadHead => "no HTTP/1 reply",
            Error::TooLong => "reply too long",
            Error::BadLength => "bad length in a reply",
        })
    }
}
