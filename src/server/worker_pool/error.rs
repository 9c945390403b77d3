//! Errors of the link to the worker pool.

use crate::codec::json;
use std::io;

/// Why a line from the pool can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum DecodeError {
    /// The line is no JSON.
    #[error("{0}")]
    Json(json::Error),
    /// A key is missing, or its value can't be read.
    #[error("`{0}` is missing or can't be read")]
    Key(&'static str),
    /// An operation that the server does not know.
    #[error("`op` is unknown: {}", .0.escape_debug())]
    UnknownOperation(String),
    /// A line past the limit on its length.
    #[error("line too long")]
    LineTooLong,
}

/// Why a connection to the pool ended.
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
    /// The process ends.
    #[error("the process ends")]
    ProcessEnds,
}
