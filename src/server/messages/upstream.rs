//! Messages to the client of the upstream service.

use crate::admission::RequestId;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call to make.
#[derive(Debug)]
pub struct UpstreamCall {
    /// The request it is made for.
    pub id: RequestId,
    /// That try's name on the platform.
    pub attempt: u64,
    /// Give it up after this long.
    pub timeout_ms: f64,
    /// The body that the run gave.
    pub body: Rc<[u8]>,
    /// It may not be made again unless it is proved that it never ran.
    pub at_most_once: bool,
}

/// What the actor is told.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// Make a call. A second one for a request gives up the first.
    Call(UpstreamCall),
    /// Give up a request's call, if it is out; no end is reported.
    Cancel(RequestId),
    /// The index listens elsewhere from now on; calls that are out go on where they are.
    SetAddress(SocketAddr),
    /// A call's task is over.
    CallTaskEnded(RequestId, u64),
}
