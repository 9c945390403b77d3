//! Final responses by way of the usage ledger, if there is one.
//!
//! # Invariants
//! No final response leaves before it is billed.

use super::request::Request;
use super::state::Dispatcher;
use crate::admission::RequestId;
use crate::server::messages::{DispatcherMessage, IncomingRequest, ReplyHandle, Response};
use crate::server::usage::billing::{Billing, FromLedger, Used};
use async_channel::Sender;
use dunlinspread_ledger::Outcome as BilledOutcome;
use dunlinspread_store::Writer;
use std::rc::Rc;

impl Dispatcher {
    /// Returns whether new requests can be billed, or need not be.
    pub(super) fn can_bill(&self) -> bool {
        self.usage.as_ref().is_none_or(|usage| usage.serving())
    }

    /// Sends the final response of a request, once it is billed; its run took `pool_ms`.
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
        let used = Used {
            class: request.class,
            outcome,
            pool_ms,
            bytes_in: request.body.len(),
            bytes_out: result_bytes(&response),
        };
        let account = request.account.clone();
        self.bill(account.as_ref(), &used, reply, response);
    }

    /// Answers a request that does not enter the table, once it is billed.
    pub(super) fn answer_unadmitted(&mut self, incoming: IncomingRequest, response: Response) {
        let rejected = matches!(response, Response::Rejected { .. });
        let used = Used {
            class: incoming.class,
            outcome: if rejected { BilledOutcome::Rejected } else { BilledOutcome::Failed },
            pool_ms: 0.0,
            bytes_in: incoming.body.len(),
            bytes_out: 0,
        };
        self.bill(incoming.account.as_ref(), &used, incoming.reply, response);
    }

    /// Sends a response once it is billed, at once without a ledger.
    fn bill(&mut self, account: Option<&Rc<str>>, used: &Used, reply: ReplyHandle, response: Response) {
        let released = match &mut self.usage {
            Some(usage) => usage.bill(self.clock.now(), account, used, reply, response),
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
        let used = Used { class: request.class, outcome, pool_ms: 0.0, bytes_in, bytes_out: 0 };
        usage.bill_silent(self.clock.now(), request.account.as_ref(), &used, 1);
    }

    /// Bills what the run of a request used after the request itself was billed.
    pub(super) fn bill_run_after_response(&mut self, id: RequestId, pool_ms: f64) {
        let Some(usage) = &mut self.usage else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let outcome = request.billed.unwrap_or(BilledOutcome::Cancelled);
        request.billed = Some(outcome);
        let used = Used { class: request.class, outcome, pool_ms, bytes_in: 0, bytes_out: 0 };
        usage.bill_silent(self.clock.now(), request.account.as_ref(), &used, 0);
    }

    /// Handles a message of the ledger's threads.
    pub(super) fn on_usage_message(&mut self, message: FromLedger) {
        let now = self.clock.now();
        self.with_usage(|usage| match message {
            FromLedger::Progress(progress) => usage.progress(now, progress),
            FromLedger::Enter { kind, tag } => usage.enter(now, kind, tag),
            FromLedger::Forget { before, sum } => usage.forget(before, sum),
            FromLedger::Close { tag } => usage.close_early(now, tag),
        });
    }

    /// Advances the time of the ledger.
    pub(super) fn on_usage_tick(&mut self) {
        self.schedule(self.usage_tick_ms, DispatcherMessage::UsageTick);
        let now = self.clock.now();
        self.with_usage(|usage| usage.tick(now));
    }

    /// Runs an operation on the ledger, and reports health if it changed whether requests can be billed.
    fn with_usage(&mut self, operation: impl FnOnce(&mut Billing)) {
        let Some(usage) = &mut self.usage else { return };
        let served = usage.serving();
        operation(usage);
        if usage.serving() != served {
            self.report_health();
        }
    }

    /// After each message: passes new entries to the store if it is idle, and sends the responses that it released.
    pub(super) fn flush_usage(&mut self) {
        let Some(usage) = &mut self.usage else { return };
        usage.turn(self.clock.now());
        let released: Vec<(ReplyHandle, Response)> = usage.free().collect();
        for (reply, response) in released {
            self.send_response(reply, response);
        }
    }

    /// Ends the ledger and hands over its writer.
    pub(super) fn close_usage(&mut self, writer: &Sender<Writer>) {
        if let Some(usage) = self.usage.take() {
            // The channel has room for this one message; its receiver waits for it.
            let _ = writer.try_send(usage.end(self.clock.now()));
        }
    }
}

/// Returns how a response to this request is billed.
fn billed_outcome(response: &Response, request: &Request, is_late: bool) -> BilledOutcome {
    match response {
        Response::Completed(_) if request.degraded => BilledOutcome::Degraded,
        Response::Completed(_) if is_late => BilledOutcome::CompletedLate,
        Response::Completed(_) => BilledOutcome::Completed,
        Response::Rejected { .. } => BilledOutcome::Rejected,
        Response::Failed | Response::Invalid | Response::Health(_) => BilledOutcome::Failed,
    }
}

/// Returns the bytes of the result that a response carries.
fn result_bytes(response: &Response) -> usize {
    match response {
        Response::Completed(result) => result.len(),
        Response::Rejected { .. } | Response::Failed | Response::Invalid | Response::Health(_) => 0,
    }
}
