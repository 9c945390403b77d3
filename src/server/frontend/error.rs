//! Errors that end a client connection.

use crate::codec::msgpack;

/// Why a connection was closed by the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ConnectionError {
    /// Bytes that are no MessagePack, or a message past its limits.
    #[error("reading a message: {0}")]
    Decode(msgpack::Error),
    /// A message that is not an array.
    #[error("reading a message: it is not an array")]
    NotAnArray,
    /// An array that is neither a request nor a notification.
    #[error("reading a message: it is neither a request nor a notification")]
    UnknownMessageType,
    /// The id of a request that is still open.
    #[error("reading a request: its message id is already in use")]
    DuplicateMessageId,
    /// The client reads no responses, and the queue of responses is full.
    #[error("queueing a response: the client reads no responses")]
    ResponseQueueFull,
    /// The socket takes no bytes.
    #[error("writing responses: the client takes no bytes")]
    WriteStalled,
}
