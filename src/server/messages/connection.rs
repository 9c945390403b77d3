//! Messages to the task of a client connection, and the responses that they carry.

use super::request_progress::RequestProgress;
use async_channel::Sender;
use std::rc::Rc;

/// A final response, or the response to a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The result of a run.
    Completed(Rc<[u8]>),
    /// The request was rejected; this attempt never ran.
    Rejected {
        /// Retry-After, ms; 0 for none.
        retry_after_ms: f64,
        /// Whether the client is asked not to retry on another server.
        do_not_retry: bool,
    },
    /// The request failed; it may have had its effect.
    Failed,
    /// The request can't be decoded or contradicts another one; nothing was done for it.
    Invalid,
    /// Whether the server is healthy.
    Health(bool),
}

/// A message to the task of a client connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionMessage {
    /// The response to the request with this tag.
    Response {
        /// The connection's tag for the request.
        tag: u64,
        /// The response.
        response: Response,
        /// The share of its requests that a client should send here, 0 to 1, where it is advertised.
        advertised_share: Option<f64>,
    },
    /// Graceful shutdown: take no new requests, notify the client, and close after the last response.
    Shutdown,
}

/// Where the response to a request goes. A response to a closed connection is dropped.
#[derive(Clone, Debug)]
pub struct ReplyHandle {
    /// The connection's mailbox.
    pub mailbox: Sender<ConnectionMessage>,
    /// The connection's tag for the request.
    pub tag: u64,
    /// The class of the request, by position; `None` where the response is to something else, or the class is not known.
    pub class: Option<usize>,
    /// How far the request has come; `None` where the response is to something else, or the request came from another
    /// process.
    pub progress: Option<Rc<RequestProgress>>,
}
