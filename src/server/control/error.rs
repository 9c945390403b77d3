//! Errors of the control endpoint.

use super::protocol::Status;
use std::io;

/// Why a call was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The head is no HTTP/1.x.
    #[error("head: {0}")]
    MalformedHead(httparse::Error),
    /// The head is longer than the endpoint reads, or has more fields.
    #[error("head: too long")]
    HeadTooLarge,
    /// The length of the body is no number, or is stated in more than one way.
    #[error("body: the length is not clear")]
    UnclearLength,
    /// The body has an encoding that is not read.
    #[error("body: only `chunked` is read as an encoding")]
    UnsupportedEncoding,
    /// A chunk of the body can't be read.
    #[error("body: malformed chunk")]
    MalformedChunk,
    /// The body is longer than the endpoint reads.
    #[error("body: too long")]
    BodyTooLarge,
    /// The caller ended its side before the call was whole.
    #[error("the call is not whole")]
    Truncated,
    /// The call was not whole within the time limit.
    #[error("the call was not whole within the time limit")]
    TimedOut,
}

impl CallError {
    /// Returns the status of the answer.
    pub fn status(self) -> Status {
        match self {
            CallError::MalformedHead(_)
            | CallError::UnclearLength
            | CallError::MalformedChunk
            | CallError::Truncated => Status::BadRequest,
            CallError::HeadTooLarge => Status::HeadTooLarge,
            CallError::UnsupportedEncoding => Status::NotImplemented,
            CallError::BodyTooLarge => Status::ContentTooLarge,
            CallError::TimedOut => Status::RequestTimeout,
        }
    }
}

/// Why the endpoint's event loop ended.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The system did not wait for events.
    #[error("waiting for events: {0}")]
    Wait(io::Error),
}
