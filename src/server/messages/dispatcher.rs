//! Messages to the dispatcher.

use super::connection::ReplyHandle;
use super::handover::{PredecessorMessage, SuccessorMessage};
use super::usage::UsageMessage;
use super::worker_pool::PoolEvent;
use crate::admission::{Outcome, Reconfiguration, RequestId};
use async_channel::Sender;
use dunlinspread_store::Writer;
use std::rc::Rc;

/// A request that a frontend has decoded.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Id of the request, unique and increasing across all frontends.
    pub id: RequestId,
    /// Number that the client assigned to this attempt.
    pub attempt: u64,
    /// Class of the request, by position.
    pub class: usize,
    /// When the request reached the machine, Unix ms.
    pub received_at: f64,
    /// Memory that the request takes while queued, kB.
    pub request_kb: f64,
    /// Quantile of the request's priority, 0 (lowest) to 1.
    pub priority: f64,
    /// Idempotency key, shared by all attempts of one request.
    pub key: Option<Vec<u8>>,
    /// How long the client waits for this attempt, ms from `received_at`; `None` if the client did not send
    /// it.
    pub timeout_ms: Option<f64>,
    /// Tenant of the request, by position.
    pub tenant: usize,
    /// Account that is billed, a valid account name.
    pub account: Option<Rc<str>>,
    /// Whether the result may be shared with other requests that read the same data.
    pub shareable: bool,
    /// Body of the request, as received.
    pub body: Vec<u8>,
    /// Handle for the response.
    pub reply: ReplyHandle,
}

/// A message to the dispatcher.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A frontend decoded a request.
    Request(Box<IncomingRequest>),
    /// A frontend received an invalid request that can be answered.
    InvalidRequest(ReplyHandle),
    /// A frontend received a health check.
    HealthCheck(ReplyHandle),
    /// The client cancelled the request or closed its connection.
    ClientGone(RequestId),
    /// An event of the worker pool or of the link to it.
    Pool(PoolEvent),
    /// An upstream call ended.
    UpstreamCallEnded {
        /// Id of the request whose run needed the call.
        id: RequestId,
        /// Outcome of the call.
        outcome: Outcome,
        /// The body of the reply; empty unless the outcome is [`Outcome::Ok`].
        body: Vec<u8>,
        /// Duration of the call, ms.
        took_ms: f64,
    },
    /// The timer of the admission controller with this token is due.
    Timer(u64),
    /// The gauges requested with this tag did not arrive in time.
    GaugesTimedOut(u64),
    /// Shutdown was requested: drain.
    Drain {
        /// When the process stops, Unix ms.
        stop_at: f64,
    },
    /// Settings changed. Requests that were decoded with the old settings precede this message in the
    /// mailbox.
    Reconfigured(Box<Reconfigured>),
    /// A message about the successor, the process that takes over from this one.
    Successor(SuccessorMessage),
    /// A message about the predecessor, the process from which this one takes over.
    Predecessor(PredecessorMessage),
    /// Notify through this channel once no request is left.
    NotifyIdle(Sender<()>),
    /// An operator started or ended the evacuation, which sends clients to other servers.
    EvacuationChanged,
    /// Remove expired idempotency keys.
    SweepKeys,
    /// A message from the threads of the usage ledger.
    Usage(Box<UsageMessage>),
    /// Advance the time of the usage ledger.
    UsageTick,
    /// The process ends: shut the usage ledger down, if it is enabled, and send its writer through this
    /// channel.
    CloseUsage(Sender<Writer>),
}

/// Changes of settings, with a channel for the notification that they are in force.
#[derive(Debug)]
pub struct Reconfigured {
    /// Changed settings.
    pub changes: Reconfiguration,
    /// Receives one message once the changes are in force, for which it must have capacity.
    pub done: Sender<()>,
}
