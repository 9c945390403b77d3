//! Errors of calls to the upstream service.

use crate::admission::Outcome;
use crate::codec::http;
use std::io;

/// Why a call has no reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// All connections are in use until the call's deadline.
    #[error("waiting for a connection: all are in use")]
    NoFreeConnection,
    /// The service can't be reached.
    #[error("connecting: {0}")]
    Connect(io::Error),
    /// The request could not be written.
    #[error("writing the request: {0}")]
    Write(io::Error),
    /// The reply could not be read.
    #[error("reading the reply: {0}")]
    Read(io::Error),
    /// The service closed the connection before the reply was whole.
    #[error("reading the reply: closed by the upstream service")]
    Closed,
    /// The reply is no HTTP or past its limits.
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

    /// Returns the outcome of a call with this error. Before the first byte is written it is proved that no call ran.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            CallError::NoFreeConnection | CallError::Connect(_) => Outcome::Unreachable,
            CallError::Write(_) | CallError::Read(_) | CallError::Closed | CallError::Decode(_) => {
                Outcome::ConnectionLost
            }
        }
    }
}

/// The kind of a [`CallError`], without what the system or the service said.
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
    #[error("reading the reply: not valid")]
    Decode,
}
