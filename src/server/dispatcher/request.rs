//! A request and the state of its execution.

use crate::admission::RequestId;
use crate::server::messages::{IncomingRequest, PoolCommand, ReplyHandle};
use crate::server::worker_pool::Delivery;
use dunlinspread_ledger::Outcome as BilledOutcome;
use std::rc::Rc;

/// An upstream call that a run waits for.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    /// Number of the worker pool's notice that requested the call.
    pub(super) notice_seq: u64,
    /// Body of the call.
    pub(super) body: Rc<[u8]>,
}

/// State of the execution of a request.
#[derive(Debug)]
pub(super) enum ExecutionState {
    /// Waits for the start of a run.
    Queued,
    /// Is running in the worker pool.
    Running,
    /// Is paused in the worker pool.
    Paused,
    /// Has a run that waits for an upstream call that is not made yet.
    AwaitingUpstreamCall(PendingCall),
    /// Has a run that waits for an upstream call in progress.
    CallingUpstream(PendingCall),
    /// Waits for the result of another attempt of its key.
    AwaitingResult {
        /// When the wait started, Unix ms.
        since: f64,
    },
}

/// A command for a run about which the worker pool has reported nothing since.
#[derive(Clone, Debug)]
pub(super) struct UnconfirmedCommand {
    pub(super) command: PoolCommand,
    pub(super) delivery: Delivery,
}

/// The idempotency key of a request.
pub(super) struct RequestKey {
    /// The key, shared by all attempts of the request.
    pub(super) key: Rc<[u8]>,
    /// Hash of the body, which is the same for all attempts of the request.
    pub(super) body_hash: u64,
}

/// Fields of a request that only the admission controller and the successor of this process need.
#[derive(Clone, Copy)]
pub(super) struct ArrivalFields {
    /// Memory that the request takes while queued, kB.
    pub(super) request_kb: f64,
    /// Quantile of the request's priority, 0 (lowest) to 1.
    pub(super) priority: f64,
    /// How long the client waits, ms from the receipt of the request; `None` if the client did not send it.
    pub(super) timeout_ms: Option<f64>,
    /// Tenant of the request, by position.
    pub(super) tenant: usize,
    /// Whether the result may be shared with other requests that read the same data.
    pub(super) shareable: bool,
}

/// A request between its arrival and its removal.
pub(super) struct Request {
    /// Number that the client assigned to this attempt.
    pub(super) attempt: u64,
    pub(super) class: usize,
    /// Fields of the arrival event that was passed to the controller.
    pub(super) arrival: ArrivalFields,
    pub(super) key: Option<RequestKey>,
    /// When the request reached the machine, Unix ms.
    pub(super) received_at: f64,
    pub(super) body: Rc<[u8]>,
    /// Account that is billed.
    pub(super) account: Option<Rc<str>>,
    /// Whether an upstream call was skipped.
    pub(super) degraded: bool,
    /// Outcome under which the request was billed; `None` before it is billed.
    pub(super) billed: Option<BilledOutcome>,
    /// Handle for the final response; `None` once it is sent or the client has cancelled.
    pub(super) reply: Option<ReplyHandle>,
    pub(super) state: ExecutionState,
    /// Whether a run was ever requested for the request.
    pub(super) run_requested: bool,
    /// Commands issued since the last event of the worker pool for this request, in the order of issue.
    pub(super) unconfirmed: Vec<UnconfirmedCommand>,
}

impl Request {
    /// Returns a queued request that has not run.
    pub(super) fn new(incoming: IncomingRequest, key: Option<RequestKey>) -> Self {
        Request {
            attempt: incoming.attempt,
            class: incoming.class,
            arrival: ArrivalFields {
                request_kb: incoming.request_kb,
                priority: incoming.priority,
                timeout_ms: incoming.timeout_ms,
                tenant: incoming.tenant,
                shareable: incoming.shareable,
            },
            key,
            received_at: incoming.received_at,
            body: incoming.body.into(),
            account: incoming.account,
            degraded: false,
            billed: None,
            reply: Some(incoming.reply),
            state: ExecutionState::Queued,
            run_requested: false,
            unconfirmed: Vec::new(),
        }
    }

    /// Converts the request back to the form in which it arrived.
    pub(super) fn into_incoming(self, id: RequestId, reply: ReplyHandle) -> IncomingRequest {
        IncomingRequest {
            id,
            attempt: self.attempt,
            class: self.class,
            received_at: self.received_at,
            request_kb: self.arrival.request_kb,
            priority: self.arrival.priority,
            key: self.key.map(|key| key.key.to_vec()),
            timeout_ms: self.arrival.timeout_ms,
            tenant: self.arrival.tenant,
            account: self.account,
            shareable: self.arrival.shareable,
            body: self.body.to_vec(),
            reply,
        }
    }

    /// Returns whether a run was requested and the worker pool has reported nothing about it since.
    pub(super) fn is_start_unconfirmed(&self) -> bool {
        self.unconfirmed_start().is_some()
    }

    /// Returns whether a run was requested, the worker pool has reported nothing about it since, and the
    /// request may have been lost with a link.
    pub(super) fn is_start_in_doubt(&self) -> bool {
        self.unconfirmed_start().is_some_and(|start| start.delivery == Delivery::InDoubt)
    }

    fn unconfirmed_start(&self) -> Option<&UnconfirmedCommand> {
        self.unconfirmed.first().filter(|first| matches!(first.command, PoolCommand::Run { .. }))
    }

    /// Returns whether the request has no run in progress, neither running nor at an upstream call.
    pub(super) fn is_idle(&self) -> bool {
        match self.state {
            ExecutionState::Queued | ExecutionState::Paused | ExecutionState::AwaitingResult { .. } => true,
            ExecutionState::Running
            | ExecutionState::AwaitingUpstreamCall(_)
            | ExecutionState::CallingUpstream(_) => false,
        }
    }

    /// Returns whether the request's run waits for an upstream call.
    pub(super) fn is_at_upstream_call(&self) -> bool {
        matches!(self.state, ExecutionState::AwaitingUpstreamCall(_) | ExecutionState::CallingUpstream(_))
    }

    /// Returns whether a run was requested and has not ended: it is running, paused or waits for an upstream
    /// call.
    pub(super) fn has_run_in_pool(&self) -> bool {
        !matches!(self.state, ExecutionState::Queued | ExecutionState::AwaitingResult { .. })
    }
}
