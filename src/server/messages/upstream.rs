//! Messages to the client of the upstream service.

use crate::admission::RequestId;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call to the upstream service.
#[derive(Debug)]
pub struct UpstreamCall {
    /// The request that needs the call.
    pub id: RequestId,
    /// The number that the client gave the attempt.
    pub attempt: u64,
    /// Give the call up after this time, ms.
    pub timeout_ms: f64,
    /// The body of the call.
    pub body: Rc<[u8]>,
    /// Whether a retry is allowed only if it is proved that the call never ran.
    pub at_most_once: bool,
}

/// A message to the upstream client.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// Make a call. A second call of a request cancels the first.
    Call(UpstreamCall),
    /// Cancel the call of a request, if there is one; its end is not reported.
    Cancel(RequestId),
    /// The address of the upstream service changed; calls under way stay on their connections.
    SetAddress(SocketAddr),
    /// The task of a call ended; the request and the number of the call.
    CallTaskEnded(RequestId, u64),
}
