//! Messages to the dispatcher.

use super::connection::ReplyHandle;
use super::handover::{PredecessorMessage, SuccessorMessage};
use super::usage::UsageMessage;
use super::worker_pool::PoolEvent;
use crate::admission::{Outcome, Reconfiguration, RequestId};
use async_channel::Sender;
use dunlinspread_store::Writer;
use std::rc::Rc;

/// A request as a frontend decoded it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The number of the request, unique and increasing over all frontends.
    pub id: RequestId,
    /// The number that the client gave this attempt.
    pub attempt: u64,
    /// The class, by position.
    pub class: usize,
    /// When the request reached the machine, Unix ms.
    pub received_at: f64,
    /// Memory that the request takes while queued, kB.
    pub request_kb: f64,
    /// The quantile of its priority, 0 to 1, lowest first.
    pub priority: f64,
    /// The idempotency key, shared by all attempts of one request.
    pub key: Option<Vec<u8>>,
    /// How long the client waits for this attempt, ms from `received_at`, where that is sent.
    pub timeout_ms: Option<f64>,
    /// The tenant, by position.
    pub tenant: usize,
    /// The account that is billed, a valid account name.
    pub account: Option<Rc<str>>,
    /// Whether the result may be shared with other requests that read the same.
    pub shareable: bool,
    /// The body, as received.
    pub body: Vec<u8>,
    /// Where the response goes.
    pub reply: ReplyHandle,
}

/// A message to the dispatcher.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A request was decoded.
    Request(Box<IncomingRequest>),
    /// An invalid request that can be answered.
    InvalidRequest(ReplyHandle),
    /// A health check was received.
    HealthCheck(ReplyHandle),
    /// The client cancelled the request or closed its connection.
    ClientGone(RequestId),
    /// An event of the worker pool.
    Pool(PoolEvent),
    /// An upstream call ended.
    UpstreamCallEnded {
        /// The request that made the call.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// The body of the reply; empty unless the outcome is [`Outcome::Ok`].
        body: Vec<u8>,
        /// How long the call took, ms.
        took_ms: f64,
    },
    /// A timer of the admission controller is due; its token.
    Timer(u64),
    /// The gauges requested with this tag are late.
    GaugesTimedOut(u64),
    /// Shutdown was requested: drain.
    Drain {
        /// When the process stops, Unix ms.
        stop_at: f64,
    },
    /// Settings change. Requests that were decoded with the old settings are earlier in the mailbox.
    Reconfigured(Box<Reconfigured>),
    /// A message about the process that takes over from this one.
    Successor(SuccessorMessage),
    /// A message about the process that this one takes over from.
    Predecessor(PredecessorMessage),
    /// Tell once no request is left.
    NotifyIdle(Sender<()>),
    /// Clients are to be sent elsewhere, or taken again, by an operator.
    EvacuationChanged,
    /// Remove expired idempotency keys.
    SweepKeys,
    /// A message of the usage ledger's threads.
    Usage(Box<UsageMessage>),
    /// Advance the time of the usage ledger.
    UsageTick,
    /// The process ends: hand over the writer of the usage ledger, if there is one.
    CloseUsage(Sender<Writer>),
}

/// Changes of settings, and whom to notify once they are in force.
#[derive(Debug)]
pub struct Reconfigured {
    /// The changes.
    pub changes: Reconfiguration,
    /// Receives one message once the changes are in force; it has room for it.
    pub done: Sender<()>,
}
