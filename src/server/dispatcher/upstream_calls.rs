//! Upstream calls of runs: their start, end, omission and cancellation.

use super::request::{ExecutionState, Request};
use super::state::Dispatcher;
use crate::admission::{Event, Outcome, RequestId, RetrySafety};
use crate::server::messages::{PoolCommand, UpstreamCall, UpstreamMessage};
use async_channel::TrySendError;
use slog::error;

impl Dispatcher {
    /// Makes the upstream call that a run waits for. If `timeout_ms` is 0, the client timeout of the class
    /// applies.
    pub(super) fn call_upstream(&mut self, id: RequestId, timeout_ms: f64) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let ExecutionState::AwaitingUpstreamCall(pending) = &request.state else { return };
        let pending = pending.clone();
        let class = &self.settings.classes[request.class];
        let call = UpstreamCall {
            id,
            attempt: request.attempt,
            timeout_ms: if timeout_ms > 0.0 { timeout_ms } else { class.client_timeout_ms },
            body: pending.body.clone(),
            at_most_once: class.retry_safety != RetrySafety::Idempotent,
        };
        let upstream = self.upstream.as_ref();
        if upstream.is_some_and(|upstream| upstream.try_send(UpstreamMessage::Call(call)).is_ok()) {
            request.state = ExecutionState::CallingUpstream(pending);
            return;
        }
        // There is no upstream service, or its task accepts no calls: the call never ran.
        let outcome = Outcome::Unreachable;
        self.events.push_back(Event::UpstreamCallEnded { id, outcome, took_ms: 0.0 });
    }

    /// Continues a run without the upstream call that it waits for.
    pub(super) fn skip_upstream_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let ExecutionState::AwaitingUpstreamCall(call) = &request.state else { return };
        let command = PoolCommand::SkipUpstreamCall { attempt: request.attempt, seq: call.notice_seq };
        request.state = ExecutionState::Running;
        request.degraded = true;
        self.request_command(id, command);
    }

    /// Handles the end of an upstream call: the run continues with the reply, or waits for the controller's
    /// decision.
    pub(super) fn on_upstream_call_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        body: Vec<u8>,
        took_ms: f64,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let ExecutionState::CallingUpstream(call) = &request.state else { return };
        if outcome == Outcome::Ok {
            let (attempt, seq) = (request.attempt, call.notice_seq);
            let command = PoolCommand::UpstreamReply { attempt, seq, body: body.into() };
            request.state = ExecutionState::Running;
            self.request_command(id, command);
        } else {
            request.state = ExecutionState::AwaitingUpstreamCall(call.clone());
        }
        self.dispatch_event(Event::UpstreamCallEnded { id, outcome, took_ms });
    }

    /// Cancels the upstream call of a finished request, if one is in progress.
    pub(super) fn cancel_upstream_call(&self, id: RequestId) {
        let Some(Request { state: ExecutionState::CallingUpstream(_), .. }) = self.requests.get(id) else {
            return;
        };
        let Some(upstream) = &self.upstream else { return };
        // The mailbox is unbounded, and closes only at the end of the process.
        if let Err(TrySendError::Full(_)) = upstream.try_send(UpstreamMessage::Cancel(id)) {
            error!(self.log, "cancellation of an upstream call dropped"; "reason" => "mailbox full");
        }
    }
}
