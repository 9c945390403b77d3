//! Start and end of runs, and reuse of their results.

use super::request::ExecutionState;
use super::state::Dispatcher;
use crate::admission::{Event, Outcome, Preemption, RequestId, RetrySafety};
use crate::server::messages::{PoolCommand, Response, RunOutcome};
use dunlinspread_idempotency::{ReuseOutcome, RunResult};
use std::rc::Rc;

impl Dispatcher {
    /// Starts the run of a queued request, or resumes a paused one.
    pub(super) fn run_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        match request.state {
            ExecutionState::Paused => {
                request.state = ExecutionState::Running;
                let attempt = request.attempt;
                self.request_command(id, PoolCommand::Resume { attempt });
            }
            ExecutionState::Queued => self.start_run(id),
            _ => {}
        }
    }

    /// Starts the run of a queued request, or fails the request if its key has already run in the same
    /// window.
    fn start_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        match self.keys.begin_run(id, request) {
            // The superseded run continued past its own window, and the end of that run would no longer find
            // its duplicates.
            Ok(waiters) => waiters.into_iter().for_each(|waiter| self.finish_reuse(waiter, None)),
            Err(duplicate_run) => {
                self.repeating_log.log_run_prevented(self.clock.now(), &duplicate_run);
                self.respond(id, Response::Failed);
                self.remove(id);
                let outcome = Outcome::Lost;
                return self.events.push_back(Event::RunEnded { id, outcome, took_ms: 0.0 });
            }
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        request.state = ExecutionState::Running;
        request.run_requested = true;
        let attempt = request.attempt;
        if self.abandoned_runs.take(attempt) {
            // The worker pool ignores a run command for an attempt whose paused run it still has, and reports
            // nothing.
            return self.request_command(id, PoolCommand::Resume { attempt });
        }
        self.request_new_run(id);
    }

    /// Sends the worker pool a command to run the request from the beginning.
    fn request_new_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let (attempt, class, body) = (request.attempt, request.class, request.body.clone());
        self.status.telemetry().record_attempt(class);
        self.request_command(id, PoolCommand::Run { attempt, class, body });
    }

    /// Handles a rejected resume command: the worker pool has no paused run. The request is run from the
    /// beginning if its class is idempotent and its client still waits for the response; otherwise its run is
    /// lost.
    pub(super) fn on_resume_rejected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_idempotent = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        if !is_idempotent || request.reply.is_none() {
            return self.on_run_ended(id, RunOutcome::Lost, 0.0, Vec::new());
        }
        request.unconfirmed.clear();
        self.request_new_run(id);
    }

    /// Stops or pauses a running request.
    pub(super) fn preempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if matches!(request.state, ExecutionState::Running) {
            let attempt = request.attempt;
            self.request_command(id, PoolCommand::Suspend { attempt });
        }
    }

    /// Answers a duplicate with the result of its key's run, immediately or when that run ends.
    pub(super) fn reuse_result(&mut self, now: f64, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.state = ExecutionState::AwaitingResult { since: now };
        match self.keys.reuse_result(id, request) {
            ReuseOutcome::Ready(result) => self.finish_reuse(id, result),
            ReuseOutcome::Pending => {}
            ReuseOutcome::NotRun => self.finish_reuse(id, None),
        }
    }

    /// Handles the end of a run: answers the request, or queues or pauses it for another run if it was
    /// preempted.
    pub(super) fn on_run_ended(
        &mut self,
        id: RequestId,
        reported: RunOutcome,
        took_ms: f64,
        result: Vec<u8>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        // "Not started" is credible only while the start of the run is the first unconfirmed command: a run
        // that was stopped at an upstream call and then resumed has run, and its key must not become free.
        let disproved = reported == RunOutcome::NotStarted && !request.is_start_unconfirmed();
        let run_outcome = if disproved { RunOutcome::Lost } else { reported };
        request.unconfirmed.clear();
        let was_at_upstream_call = request.is_at_upstream_call();
        let preemption = self.settings.preemption;
        let was_preempted = run_outcome == RunOutcome::Stopped && preemption != Preemption::Off;
        if was_preempted && request.reply.is_some() {
            let restarts = preemption == Preemption::Abort;
            request.state = if restarts { ExecutionState::Queued } else { ExecutionState::Paused };
            return self.dispatch_event(Event::RunEnded { id, outcome: Outcome::Cancelled, took_ms });
        }
        // The worker pool does not retain a run that was stopped at its upstream call.
        if run_outcome == RunOutcome::Stopped && preemption == Preemption::Suspend && !was_at_upstream_call {
            self.abandoned_runs.add(request.attempt);
        }
        let result = (run_outcome == RunOutcome::Completed).then(|| Rc::from(result));
        self.finish_run(id, run_outcome, took_ms, result);
        self.dispatch_pending_events();
    }

    /// Answers a request whose run has ended, removes it and adds the event for the controller.
    fn finish_run(&mut self, id: RequestId, run_outcome: RunOutcome, took_ms: f64, result: Option<Rc<[u8]>>) {
        self.answer_run(id, result.clone(), took_ms);
        self.finish_key_run(id, run_outcome, result);
        self.remove(id);
        self.report_runs_in_progress();
        let outcome = controller_outcome(run_outcome);
        self.events.push_back(Event::RunEnded { id, outcome, took_ms });
    }

    /// Ends the run of an answered request whose start may have been lost with a link and is not sent again:
    /// the worker pool may never report its end.
    pub(super) fn end_answered_run_in_doubt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.reply.is_none() && request.is_start_in_doubt() {
            self.finish_run(id, RunOutcome::Lost, 0.0, None);
        }
    }

    /// Answers a request with the result of its run, or only bills the run if the request already has a final
    /// outcome.
    fn answer_run(&mut self, id: RequestId, result: Option<Rc<[u8]>>, took_ms: f64) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let reply = request.reply.take();
        if reply.as_ref().is_some_and(|reply| reply.mailbox.is_closed()) {
            // The connection ended: the client may resend the attempt, which must not be rejected because it
            // has run.
            self.undelivered_runs.add(request.attempt);
        }
        self.cancel_upstream_call(id);
        let response = result.map_or(Response::Failed, Response::Completed);
        match reply {
            Some(reply) => self.finish(id, reply, response, took_ms),
            None => self.bill_run_after_response(id, took_ms),
        }
    }

    /// Records the end of the run for its key, and answers the duplicates that waited for it.
    fn finish_key_run(&mut self, id: RequestId, run_outcome: RunOutcome, result: Option<Rc<[u8]>>) {
        let Some(request) = self.requests.get(id) else { return };
        let run_result = match result {
            Some(result) => RunResult::Completed(result),
            None if run_outcome == RunOutcome::NotStarted => RunResult::NotStarted,
            None => RunResult::Failed,
        };
        self.report_run_end(id, &run_result);
        let finished = self.keys.finish_run(id, request, run_result);
        for waiter in finished.waiters {
            self.finish_reuse(waiter, finished.result.clone());
        }
    }
}

/// Returns the outcome that is reported to the controller.
fn controller_outcome(run_outcome: RunOutcome) -> Outcome {
    match run_outcome {
        RunOutcome::Completed => Outcome::Ok,
        RunOutcome::Failed => Outcome::Error,
        RunOutcome::Stopped => Outcome::Cancelled,
        RunOutcome::NotStarted => Outcome::NotStarted,
        RunOutcome::Lost => Outcome::Lost,
    }
}
