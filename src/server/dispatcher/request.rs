//! A request and the state of its execution.

use crate::server::messages::{IncomingRequest, PoolCommand, ReplyHandle};
use dunlinspread_ledger::Outcome as BilledOutcome;
use std::rc::Rc;

/// An upstream call that a run waits for.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    /// The number of the worker pool's notice that requested the call.
    pub(super) notice_seq: u64,
    /// The body of the call.
    pub(super) body: Rc<[u8]>,
}

/// Where the execution of a request stands.
#[derive(Debug)]
pub(super) enum ExecutionState {
    /// Waits for a run.
    Queued,
    /// Runs in the worker pool.
    Running,
    /// Paused in the worker pool.
    Paused,
    /// Its run waits for an upstream call that is not made yet.
    AwaitingUpstreamCall(PendingCall),
    /// Its run waits for an upstream call that is under way.
    CallingUpstream(PendingCall),
    /// Waits for the result of another attempt of its key.
    AwaitingResult {
        /// Since when, Unix ms.
        since: f64,
    },
}

/// The idempotency key of a request.
pub(super) struct RequestKey {
    /// The key, shared by all attempts of the request.
    pub(super) key: Rc<[u8]>,
    /// The hash of the body, which is the same for all attempts.
    pub(super) body_hash: u64,
}

/// A request between its arrival and its removal.
pub(super) struct Request {
    /// The number that the client gave this attempt.
    pub(super) attempt: u64,
    pub(super) class: usize,
    pub(super) key: Option<RequestKey>,
    /// When it reached the machine, Unix ms.
    pub(super) received_at: f64,
    pub(super) body: Rc<[u8]>,
    /// The account that is billed.
    pub(super) account: Option<Rc<str>>,
    /// Whether an upstream call was skipped.
    pub(super) degraded: bool,
    /// How the request was billed, once it was.
    pub(super) billed: Option<BilledOutcome>,
    /// Where the final response goes; none once it is given or no longer owed.
    pub(super) reply: Option<ReplyHandle>,
    pub(super) state: ExecutionState,
    /// Commands since the last event of the worker pool for this request. They are sent again on a new link.
    pub(super) unconfirmed: Vec<PoolCommand>,
}

impl Request {
    /// Returns a queued request.
    pub(super) fn new(incoming: IncomingRequest, key: Option<RequestKey>) -> Self {
        Request {
            attempt: incoming.attempt,
            class: incoming.class,
            key,
            received_at: incoming.received_at,
            body: incoming.body.into(),
            account: incoming.account,
            degraded: false,
            billed: None,
            reply: Some(incoming.reply),
            state: ExecutionState::Queued,
            unconfirmed: Vec::new(),
        }
    }

    /// Returns whether its run was requested and the worker pool has reported nothing of it since.
    pub(super) fn is_start_unconfirmed(&self) -> bool {
        matches!(self.unconfirmed.first(), Some(PoolCommand::Run { .. }))
    }

    /// Returns whether the request has neither a running run nor one at an upstream call.
    pub(super) fn is_idle(&self) -> bool {
        match self.state {
            ExecutionState::Queued | ExecutionState::Paused | ExecutionState::AwaitingResult { .. } => true,
            ExecutionState::Running
            | ExecutionState::AwaitingUpstreamCall(_)
            | ExecutionState::CallingUpstream(_) => false,
        }
    }

    /// Returns whether a run was requested for it: it runs, is paused or waits for an upstream call.
    pub(super) fn has_run_in_pool(&self) -> bool {
        !matches!(self.state, ExecutionState::Queued | ExecutionState::AwaitingResult { .. })
    }
}
