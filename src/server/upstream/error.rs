//! Errors of calls to the upstream service.

use crate::admission::Outcome;
use crate::codec::http;
use std::io;

/// Reason why a call has no reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// All connections were in use until the call's deadline.
    #[error("waiting for a connection: all are in use")]
    NoFreeConnection,
    /// Connecting to the service failed.
    #[error("connecting: {0}")]
    Connect(io::Error),
    /// The request could not be written.
    #[error("writing the request: {0}")]
    Write(io::Error),
    /// The reply could not be read.
    #[error("reading the reply: {0}")]
    Read(io::Error),
    /// The service closed the connection before the reply was complete.
    #[error("reading the reply: closed by the upstream service")]
    Closed,
    /// The reply is not valid HTTP or exceeds a limit.
    #[error("reading the reply: {0}")]
    Decode(http::Error),
}

impl CallError {
    /// Returns the kind of the error.
    pub(super) fn kind(&self) -> CallErrorKind {
        match self {
            CallError::NoFreeConnection => CallErrorKind::NoFreeConnection,
            CallError::Connect(_) => CallErrorKind::Connect,
            CallError::Write(_) => CallErrorKind::Write,
            CallError::Read(_) => CallErrorKind::Read,
            CallError::Closed => CallErrorKind::Closed,
            CallError::Decode(_) => CallErrorKind::Decode,
        }
    }

    /// Returns the outcome of a call that failed with this error. A call of which no byte was written
    /// provably never ran.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            CallError::NoFreeConnection | CallError::Connect(_) => Outcome::Unreachable,
            CallError::Write(_) | CallError::Read(_) | CallError::Closed | CallError::Decode(_) => {
                Outcome::ConnectionLost
            }
        }
    }
}

/// Kind of a [`CallError`], without the underlying error of the system or the decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallErrorKind {
    /// [`CallError::NoFreeConnection`].
    #[error("waiting for a connection")]
    NoFreeConnection,
    /// [`CallError::Connect`].
    #[error("connecting")]
    Connect,
    /// [`CallError::Write`].
    #[error("writing the request")]
    Write,
    /// [`CallError::Read`].
    #[error("reading the reply")]
    Read,
    /// [`CallError::Closed`].
    #[error("reading the reply: closed by the upstream service")]
    Closed,
    /// [`CallError::Decode`].
    #[error("reading the reply: not a valid HTTP reply")]
    Decode,
}
