//! Messages to the task of a client connection, and the responses in them.

use super::request_progress::RequestProgress;
use async_channel::Sender;
use std::rc::Rc;

/// A final response, or the response to a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The request completed with this result of its run.
    Completed(Rc<[u8]>),
    /// The request was rejected; this attempt never ran.
    Rejected {
        /// Retry-After delay that is sent to the client, ms; 0 if none is sent.
        retry_after_ms: f64,
        /// Whether the client should not retry on another server.
        do_not_retry: bool,
    },
    /// The request failed; it may have had an effect.
    Failed,
    /// The request can't be decoded or contradicts another request; it was not run.
    Invalid,
    /// The response to a health check: whether the server is healthy.
    Health(bool),
}

/// A message to the task of a client connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionMessage {
    /// The response to the request with this tag.
    Response {
        /// The connection's tag for the request.
        tag: u64,
        /// Response to the request.
        response: Response,
        /// The share of its requests that a client should send to this server, 0 to 1; `None` if none is
        /// advertised.
        advertised_share: Option<f64>,
    },
    /// Shut down gracefully: accept no new requests, notify the client, and close after the last response.
    Shutdown,
}

/// Destination of the response to a request. A response to a closed connection is dropped.
#[derive(Clone, Debug)]
pub struct ReplyHandle {
    /// Mailbox of the connection's task.
    pub mailbox: Sender<ConnectionMessage>,
    /// The connection's tag for the request.
    pub tag: u64,
    /// Class of the request, by position; `None` if the response is not to a request, the class is unknown,
    /// or the successor records the end of the request.
    pub class: Option<usize>,
    /// Progress of the request; `None` if the response is not to a request, or the request was forwarded by
    /// another process.
    pub progress: Option<Rc<RequestProgress>>,
}
