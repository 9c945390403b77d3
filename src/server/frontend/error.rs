//! Errors that end a client connection.

use crate::codec::msgpack;

/// Reason why the server closed a connection on an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The bytes are not valid MessagePack, or a message exceeds a limit.
    #[error("reading a message: {0}")]
    Decode(msgpack::Error),
    /// A message is not an array.
    #[error("reading a message: it is not an array")]
    NotAnArray,
    /// A message is neither a request nor a notification.
    #[error("reading a message: it is neither a request nor a notification")]
    UnknownMessageType,
    /// A message id is that of a request that is still open.
    #[error("reading a request: its message id is already in use")]
    DuplicateMessageId,
    /// The client reads no responses, and the response queue is full.
    #[error("queueing a response: the client reads no responses")]
    ResponseQueueFull,
    /// The socket accepted no bytes within the time limit of a write.
    #[error("writing responses: the client takes no bytes")]
    WriteStalled,
}
