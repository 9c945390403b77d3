//! Messages to the dispatcher.

use super::connection::ReplyHandle;
use super::usage::UsageMessage;
use super::worker_pool::PoolEvent;
use crate::admission::{Outcome, Reconfiguration, RequestId};
use async_channel::Sender;
use dunlinspread_store::Writer;
use std::rc::Rc;

/// A request as a front read it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The front's number for it, unique and rising.
    pub id: RequestId,
    /// The platform's name for this try.
    pub attempt: u64,
    /// The class, by position.
    pub class: usize,
    /// When it reached the machine, Unix ms.
    pub received_at: f64,
    /// Memory while held.
    pub request_kb: f64,
    /// Its place, 0 to 1.
    pub priority: f64,
    /// What all tries of one keyed request share.
    pub key: Option<Vec<u8>>,
    /// How long its caller waits for this try from `received_at` on, ms, where that is told.
    pub timeout_ms: Option<f64>,
    /// The tenant, by position.
    pub tenant: usize,
    /// The account that it is billed to; a good name.
    pub account: Option<Rc<str>>,
    /// It names what it reads.
    pub shareable: bool,
    /// The body, unchanged.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub reply: ReplyHandle,
}

/// What the core is told.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A request was read.
    Request(Box<IncomingRequest>),
    /// Something was read that is no proper request but can be answered.
    InvalidRequest(ReplyHandle),
    /// A health check.
    HealthCheck(ReplyHandle),
    /// The caller no longer waits.
    ClientGone(RequestId),
    /// From the worker pool.
    Pool(PoolEvent),
    /// A call ended, with the reply's body if it went well.
    UpstreamCallEnded {
        /// Whose call.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// The reply.
        body: Vec<u8>,
        /// How long it took.
        took_ms: f64,
    },
    /// A timer of the module is due.
    Timer(u64),
    /// The gauges asked for with this tag are late.
    GaugesTimedOut(u64),
    /// Notice to leave.
    Drain {
        /// When the process stops, Unix ms.
        stop_at: f64,
    },
    /// Changes of settings come in force: what was read before them stands before this in the mailbox.
    Reconfigured(Box<Reconfigured>),
    /// Time to sweep.
    SweepKeys,
    /// From the ledger's threads.
    Usage(Box<UsageMessage>),
    /// Time passes for the ledger.
    UsageTick,
    /// The program ends: give up the ledger's writer, if there is one.
    CloseUsage(Sender<Writer>),
}

/// Changes of settings, and where it is told that they are in force.
#[derive(Debug)]
pub struct Reconfigured {
    /// The changes.
    pub changes: Reconfiguration,
    /// Has room for the one message.
    pub done: Sender<()>,
}
