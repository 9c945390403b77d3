//! Messages to the task of a client connection, and the responses that they carry.

use async_channel::Sender;
use std::rc::Rc;

/// A final answer, or the answer to a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The result of a run made for this request.
    Completed(Rc<[u8]>),
    /// Turned away; this try never ran.
    Rejected {
        /// Advice to keep away for this long; 0 for none.
        retry_after_ms: f64,
        /// Ask the caller to try no other instance.
        do_not_retry: bool,
    },
    /// An error, with no promise.
    Failed,
    /// The request can't be understood; nothing was done for it.
    Invalid,
    /// Health as the module set it.
    Health(bool),
}

/// What a connection's actor is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionMessage {
    /// The answer to what bears this tag, with the module's present value for callers.
    Response {
        /// The connection's own mark for the request.
        tag: u64,
        /// The answer.
        response: Response,
        /// The value that goes out on every answer.
        advertised_share: Option<f64>,
    },
    /// Take no new request from now on: tell the caller, and end once it has its answers.
    Shutdown,
}

/// Where an answer goes. A connection that is gone takes it and does nothing.
#[derive(Clone, Debug)]
pub struct ReplyHandle {
    /// The connection's mailbox.
    pub mailbox: Sender<ConnectionMessage>,
    /// The connection's own mark for the request.
    pub tag: u64,
}
