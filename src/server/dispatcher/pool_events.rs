//! Handling of events from the worker pool and the link to it.

use super::request::{ExecutionState, PendingCall, Request};
use super::state::{Dispatcher, PoolStart};
use crate::admission::{Event, Gauges, RequestId, RetrySafety};
use crate::config;
use crate::server::messages::{PoolEvent, RejectedCommand, RunOutcome};
use slog::warn;

impl Dispatcher {
    pub(super) fn on_pool_event(&mut self, event: PoolEvent) {
        match event {
            PoolEvent::Started { cold, ago_ms } => self.start_controller(Some(PoolStart { cold, ago_ms })),
            PoolEvent::Restarted => self.on_pool_restarted(),
            PoolEvent::LinkUp(link) => self.on_link_up(link),
            PoolEvent::LinkDown { last_written, is_drained } => {
                self.pool.set_link_down(last_written, is_drained);
            }
            PoolEvent::CommandsDelayed { waited_ms } => {
                self.dispatch_event(Event::CommandsDelayed { waited_ms });
            }
            PoolEvent::Gauges { tag, values } => {
                self.pool.on_gauges_read(tag);
                let gauges = self.named_gauges(&values);
                self.on_gauges(tag, gauges);
            }
            PoolEvent::UpstreamCallNeeded { attempt, seq, body } => {
                let call = PendingCall { notice_seq: seq, body: body.into() };
                self.on_upstream_call_needed(attempt, call);
            }
            PoolEvent::RunEnded { attempt, end, took_ms, body } => {
                // A request that ended while it was paused is no longer in the table.
                if let Some(id) = self.requests.id_of_attempt(attempt) {
                    self.on_run_ended(id, end, took_ms, body);
                }
            }
            PoolEvent::CommandRejected { command, attempt } => self.on_command_rejected(&command, attempt),
        }
    }

    /// Assigns the values that the worker pool sent to the gauges by name, and returns the gauges.
    fn named_gauges(&self, values: &[f64]) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in self.gauge_names.iter().zip(values) {
            config::set_gauge(&mut gauges, name, *value);
        }
        gauges
    }

    /// Records that a run waits for an upstream call, and passes it to the controller.
    fn on_upstream_call_needed(&mut self, attempt: u64, call: PendingCall) {
        let Some(id) = self.requests.id_of_attempt(attempt) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        request.unconfirmed.clear();
        request.state = ExecutionState::AwaitingUpstreamCall(call);
        self.dispatch_event(Event::UpstreamCallNeeded(id));
    }

    /// Handles a restart of the worker pool. Requests sent before the restart may have run: runs of
    /// idempotent classes whose start is unconfirmed are requested again, and all other runs are failed.
    fn on_pool_restarted(&mut self) {
        self.abandoned_runs.clear();
        let has_failed = |request: &Request| {
            let is_idempotent = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
            request.has_run_in_pool() && !(request.is_start_unconfirmed() && is_idempotent)
        };
        let failed: Vec<RequestId> = self.requests.ids_where(has_failed);
        warn!(self.log, "runs ended with the worker pool"; "runs" => failed.len());
        for id in failed {
            self.on_run_ended(id, RunOutcome::Failed, 0.0, Vec::new());
        }
        self.requests.reset_deliveries();
    }

    /// Begins to use a new link, and decides on the commands that the old one may have lost.
    fn on_link_up(&mut self, link: u64) {
        self.pool.set_link_up(link);
        self.on_pool_linked();
        self.redeliver_commands();
    }

    /// Ends or restarts the run of a rejected command: the worker pool will not report the end of a run that
    /// it does not know.
    fn on_command_rejected(&mut self, command: &RejectedCommand, attempt: u64) {
        self.repeating_log.log_rejected_command(self.clock.now(), command);
        let Some(id) = self.requests.id_of_attempt(attempt) else { return };
        match command {
            // The request never ran: this does not indicate an unhealthy machine, and its key stays free for
            // other attempts.
            RejectedCommand::Run => self.on_run_ended(id, RunOutcome::NotStarted, 0.0, Vec::new()),
            // The run was interrupted, perhaps at an upstream call whose request the worker pool considered
            // finished.
            RejectedCommand::Resume => self.on_resume_rejected(id),
            _ => {}
        }
    }
}
