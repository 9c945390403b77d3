//! Messages to the client of the upstream service.

use crate::admission::RequestId;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call to the upstream service.
#[derive(Debug)]
pub struct UpstreamCall {
    /// Id of the request whose run needs the call.
    pub id: RequestId,
    /// Number that the client assigned to the attempt.
    pub attempt: u64,
    /// Time after which the call is abandoned, ms.
    pub timeout_ms: f64,
    /// Body of the call.
    pub body: Rc<[u8]>,
    /// Whether a retry is allowed only if the call is known not to have run.
    pub at_most_once: bool,
}

/// A message to the client of the upstream service.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// Make a call. A second call of the same request cancels the first.
    Call(UpstreamCall),
    /// Cancel the call of a request, if there is one. The end of a cancelled call is not reported.
    Cancel(RequestId),
    /// The address of the upstream service changed. Calls in progress stay on their connections.
    SetAddress(SocketAddr),
    /// The task of a call ended: the id of the request and the number of the call.
    CallTaskEnded(RequestId, u64),
}
