//! Final responses of requests in the table.

use super::request::{ExecutionState, Request};
use super::state::Dispatcher;
use crate::admission::{Event, Outcome, RequestId};
use crate::server::messages::Response;
use std::rc::Rc;

impl Dispatcher {
    /// Sends the final response of a request, unless it was sent already or the client has cancelled.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(reply) = request.reply.take() {
            self.finish(id, reply, response, 0.0);
            self.cancel_upstream_call(id);
        }
    }

    /// Rejects a request, or fails it if it may have run, and removes it unless it has a run in progress.
    pub(super) fn reject(&mut self, id: RequestId, rejection: Response) {
        let may_have_run = self.requests.get(id).is_some_and(|request| self.may_have_run(request));
        self.respond(id, if may_have_run { Response::Failed } else { rejection });
        self.remove_if_idle(id);
        self.end_answered_run_in_doubt(id);
    }

    /// Fails a request, and removes it unless it has a run in progress.
    pub(super) fn fail(&mut self, id: RequestId) {
        self.respond(id, Response::Failed);
        self.remove_if_idle(id);
        self.end_answered_run_in_doubt(id);
    }

    /// Returns whether the request or another attempt of its key may have run: a rejection promises that
    /// neither did.
    fn may_have_run(&self, request: &Request) -> bool {
        let left_queue = !matches!(request.state, ExecutionState::Queued);
        let ran_before = self.undelivered_runs.contains(request.attempt);
        request.run_requested || left_queue || ran_before || self.keys.has_run(request)
    }

    /// Answers a request that waited for another attempt with the result of that attempt, or with its
    /// failure.
    pub(super) fn finish_reuse(&mut self, id: RequestId, result: Option<Rc<[u8]>>) {
        let now = self.clock.now();
        let Some(ExecutionState::AwaitingResult { since }) =
            self.requests.get(id).map(|request| &request.state)
        else {
            return;
        };
        let took_ms = now - since;
        let outcome = if result.is_some() { Outcome::Ok } else { Outcome::Error };
        self.respond(id, result.map_or(Response::Failed, Response::Completed));
        self.remove(id);
        self.events.push_back(Event::RunEnded { id, outcome, took_ms });
    }

    /// Handles a client that cancelled the request or closed its connection.
    pub(super) fn on_client_gone(&mut self, id: RequestId) {
        if self.cancel_held_or_forwarded(id) {
            return;
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.reply.take().is_none() {
            return;
        }
        if request.run_requested {
            self.undelivered_runs.add(request.attempt);
        }
        self.status.telemetry().record_end_without_response();
        self.bill_cancelled(id);
        self.cancel_upstream_call(id);
        self.remove_if_idle(id);
        self.events.push_back(Event::ClientGone(id));
        self.end_answered_run_in_doubt(id);
        self.dispatch_pending_events();
    }
}
