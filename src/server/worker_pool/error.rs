//! Errors of the link to the worker pool.

use crate::codec::json;
use std::io;

/// Reason why a line from the worker pool can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum DecodeError {
    /// The line is not valid JSON.
    #[error("{0}")]
    Json(json::Error),
    /// A key is missing or has an invalid value.
    #[error("`{0}` is missing or has an invalid value")]
    Key(&'static str),
    /// The operation is unknown to this server.
    #[error("`op` is unknown: {}", .0.escape_debug())]
    UnknownOperation(String),
    /// The line exceeds the length limit.
    #[error("line too long")]
    LineTooLong,
}

/// Reason why a connection to the worker pool ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    /// Writing to the connection failed or took too long.
    #[error("writing failed: {0}")]
    Write(io::Error),
    /// Reading from the connection failed.
    #[error("reading failed: {0}")]
    Read(io::Error),
    /// The pool closed the connection.
    #[error("closed by the worker pool")]
    ClosedByPool,
    /// The process is ending: the dispatcher or the link's message queue has closed.
    #[error("the process ends")]
    ProcessEnds,
}
