//! Errors of the control endpoint.

use super::protocol::Status;
use std::io;

/// Reason why a call could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The head is not valid HTTP/1.x.
    #[error("head: {0}")]
    MalformedHead(httparse::Error),
    /// The head exceeds the limit on its size or on its number of header fields.
    #[error("head: too long")]
    HeadTooLarge,
    /// The length of the body is not a number, or is stated in more than one way.
    #[error("body: the length is not clear")]
    UnclearLength,
    /// The body has a transfer encoding other than `chunked`.
    #[error("body: only `chunked` is read as an encoding")]
    UnsupportedEncoding,
    /// A chunk of the body is malformed.
    #[error("body: malformed chunk")]
    MalformedChunk,
    /// The body exceeds the size limit.
    #[error("body: too long")]
    BodyTooLarge,
    /// The caller closed its side of the connection before the call was complete.
    #[error("the call is not whole")]
    Truncated,
    /// The call was not complete within the timeout.
    #[error("the call was not whole within the time limit")]
    TimedOut,
}

impl CallError {
    /// Returns the HTTP status of the response.
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

/// Reason why the event loop of the endpoint ended.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The system call that waits for events failed.
    #[error("waiting for events: {0}")]
    Wait(io::Error),
}
