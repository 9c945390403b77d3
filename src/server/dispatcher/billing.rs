//! Billing of final responses in the usage ledger, if it is enabled.
//!
//! # Invariants
//! No final response is sent before it is billed.

use super::request::Request;
use super::state::Dispatcher;
use crate::admission::RequestId;
use crate::server::messages::{DispatcherMessage, IncomingRequest, ReplyHandle, Response, UsageMessage};
use crate::server::usage::{Billing, RequestUsage};
use async_channel::Sender;
use dunlinspread_ledger::Outcome as BilledOutcome;
use dunlinspread_store::Writer;
use std::rc::Rc;

impl Dispatcher {
    /// Returns whether new requests can be billed, or no ledger is enabled.
    pub(super) fn can_bill(&self) -> bool {
        self.usage.as_ref().is_none_or(|usage| usage.accepts_requests())
    }

    /// Sends the final response of a request once it is billed. `pool_ms` is the duration of its run.
    pub(super) fn finish(&mut self, id: RequestId, reply: ReplyHandle, response: Response, pool_ms: f64) {
        if self.usage.is_none() {
            return self.send_response(reply, response);
        }
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(id) else { return self.send_response(reply, response) };
        let latency_objective_ms = self.settings.classes[request.class].latency_objective_ms;
        let is_late = now - request.received_at > latency_objective_ms;
        let outcome = billed_outcome(&response, request, is_late);
        request.billed = Some(outcome);
        let request_usage = RequestUsage {
            class: request.class,
            outcome,
            pool_ms,
            bytes_in: request.body.len(),
            bytes_out: result_bytes(&response),
        };
        let account = request.account.clone();
        self.bill(account.as_ref(), &request_usage, reply, response);
    }

    /// Answers a request that was not added to the table, once the response is billed.
    pub(super) fn answer_unadmitted(&mut self, incoming: IncomingRequest, response: Response) {
        let rejected = matches!(response, Response::Rejected { .. });
        let request_usage = RequestUsage {
            class: incoming.class,
            outcome: if rejected { BilledOutcome::Rejected } else { BilledOutcome::Failed },
            pool_ms: 0.0,
            bytes_in: incoming.body.len(),
            bytes_out: 0,
        };
        self.bill(incoming.account.as_ref(), &request_usage, incoming.reply, response);
    }

    /// Sends a response once it is billed, or immediately if no ledger is enabled.
    fn bill(
        &mut self,
        account: Option<&Rc<str>>,
        request_usage: &RequestUsage,
        reply: ReplyHandle,
        response: Response,
    ) {
        let released = match &mut self.usage {
            Some(usage) => usage.bill(self.clock.now(), account, request_usage, reply, response),
            None => Some((reply, response)),
        };
        if let Some((reply, response)) = released {
            self.send_response(reply, response);
        }
    }

    /// Bills a request that its client cancelled.
    pub(super) fn bill_cancelled(&mut self, id: RequestId) {
        let Some(usage) = &mut self.usage else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let outcome = BilledOutcome::Cancelled;
        request.billed = Some(outcome);
        let bytes_in = request.body.len();
        let request_usage =
            RequestUsage { class: request.class, outcome, pool_ms: 0.0, bytes_in, bytes_out: 0 };
        usage.bill_without_reply(self.clock.now(), request.account.as_ref(), &request_usage, 1);
    }

    /// Bills the usage of a run that ended after its request was billed.
    pub(super) fn bill_run_after_response(&mut self, id: RequestId, pool_ms: f64) {
        let Some(usage) = &mut self.usage else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let outcome = request.billed.unwrap_or(BilledOutcome::Cancelled);
        request.billed = Some(outcome);
        let request_usage =
            RequestUsage { class: request.class, outcome, pool_ms, bytes_in: 0, bytes_out: 0 };
        usage.bill_without_reply(self.clock.now(), request.account.as_ref(), &request_usage, 0);
    }

    /// Handles a message from the threads of the usage ledger.
    pub(super) fn on_usage_message(&mut self, message: UsageMessage) {
        let now = self.clock.now();
        self.with_usage(|usage| match message {
            UsageMessage::StoreProgress(progress) => usage.on_store_progress(now, progress),
            UsageMessage::AppendEntry { kind, tag } => usage.append_entry(now, kind, tag),
            UsageMessage::ReleaseLines { before, state } => usage.release_lines(before, state),
            UsageMessage::ClosePeriods { tag } => usage.close_periods(now, tag),
        });
    }

    /// Advances the time of the usage ledger and schedules the next tick.
    pub(super) fn on_usage_tick(&mut self) {
        self.schedule(self.usage_tick_ms, DispatcherMessage::UsageTick);
        let now = self.clock.now();
        self.with_usage(|usage| usage.tick(now));
    }

    /// Runs an operation on the usage ledger, and reports the health if it changed whether requests can be
    /// billed.
    fn with_usage(&mut self, operation: impl FnOnce(&mut Billing)) {
        let Some(usage) = &mut self.usage else { return };
        operation(usage);
        self.refresh_health();
    }

    /// Passes new entries to the store if it is idle, and sends the responses that are billed. Called after
    /// each message.
    pub(super) fn flush_usage(&mut self) {
        let Some(usage) = &mut self.usage else { return };
        usage.flush_if_due(self.clock.now());
        let released: Vec<(ReplyHandle, Response)> = usage.take_ready_replies().collect();
        for (reply, response) in released {
            self.send_response(reply, response);
        }
    }

    /// Shuts the usage ledger down and sends its writer to `writer`.
    pub(super) fn close_usage(&mut self, writer: &Sender<Writer>) {
        if let Some(usage) = self.usage.take() {
            // The channel has capacity for this one message, and its receiver waits for it.
            let _ = writer.try_send(usage.shut_down(self.clock.now()));
        }
    }
}

/// Returns the outcome under which a response to this request is billed.
fn billed_outcome(response: &Response, request: &Request, is_late: bool) -> BilledOutcome {
    match response {
        Response::Completed(_) if request.degraded => BilledOutcome::Degraded,
        Response::Completed(_) if is_late => BilledOutcome::CompletedLate,
        Response::Completed(_) => BilledOutcome::Completed,
        Response::Rejected { .. } => BilledOutcome::Rejected,
        Response::Failed | Response::Invalid | Response::Health(_) => BilledOutcome::Failed,
    }
}

/// Returns the size of the result in a response, bytes.
fn result_bytes(response: &Response) -> usize {
    match response {
        Response::Completed(result) => result.len(),
        Response::Rejected { .. } | Response::Failed | Response::Invalid | Response::Health(_) => 0,
    }
}
