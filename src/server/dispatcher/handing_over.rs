//! Handover to a successor, in which this process is the predecessor.
//!
//! # Invariants
//! - While the keys are being transferred, no run starts here, and arriving requests are held.
//! - After the commit this process does not decide on arriving requests: all are forwarded to the successor.

use super::handover_records::{key_to_wire, request_to_wire, response_from_wire, run_end_to_wire};
use super::handover_state::SuccessorHealth;
use super::request::{ExecutionState, Request};
use super::state::Dispatcher;
use crate::admission::{Event, RequestId};
use crate::server::messages::{
    ConnectionMessage, DispatcherMessage, IncomingRequest, ListenerMessage, RegistryMessage, ReplyHandle,
    Response, SuccessorFrame, SuccessorMessage,
};
use dunlinspread_handover::{
    ForwardedResponse, Predecessor, PredecessorAction, PredecessorEvent, RunEnd, ServerIdentity,
    ToPredecessor, ToSuccessor, snapshot_pieces,
};
use dunlinspread_idempotency::RunResult;
use slog::{error, info, warn};
use std::net::TcpListener;
use std::rc::Rc;

impl Dispatcher {
    /// Allows a successor with this identity to take over the listening socket.
    pub fn enable_handover(&mut self, identity: ServerIdentity, listening_socket: TcpListener) {
        self.handing_over.state_machine = Predecessor::new(identity);
        self.handing_over.listening_socket = Some(listening_socket);
    }

    pub(super) fn on_successor_message(&mut self, message: SuccessorMessage) {
        match message {
            SuccessorMessage::Connected(frames) => {
                self.handing_over.successor = Some(frames);
                self.advance_handover(PredecessorEvent::Connected);
            }
            SuccessorMessage::Step(input) => self.advance_handover(PredecessorEvent::Received(input)),
            SuccessorMessage::Frame(frame) => self.on_successor_frame(frame),
            SuccessorMessage::Disconnected => {
                // If this side closed the link, the protocol has already handled its end.
                if self.handing_over.successor.take().is_some() {
                    self.advance_handover(PredecessorEvent::Disconnected);
                }
            }
            SuccessorMessage::TimedOut(step_timer) => {
                if step_timer == self.handing_over.step_timer {
                    self.advance_handover(PredecessorEvent::TimedOut);
                }
            }
            SuccessorMessage::FailForwarded => self.fail_forwarded(),
        }
    }

    /// Passes an event to the handover protocol and carries out the resulting actions.
    pub(super) fn advance_handover(&mut self, event: PredecessorEvent) {
        for action in self.handing_over.state_machine.on_event(event) {
            self.carry_out_handover(action);
        }
    }

    fn carry_out_handover(&mut self, action: PredecessorAction) {
        match action {
            PredecessorAction::SendWelcome => self.send_welcome(),
            PredecessorAction::SendRefusal(reason) => {
                self.handing_over.send(ToSuccessor::Refuse { reason });
            }
            PredecessorAction::Freeze => self.hold_queued_requests(),
            PredecessorAction::SendSnapshot => self.send_snapshot(),
            PredecessorAction::SendCommit => self.handing_over.send(ToSuccessor::Commit),
            PredecessorAction::HandOver => self.hand_over(),
            PredecessorAction::Resume => self.resume(),
            PredecessorAction::TakeBack => self.take_back(),
            PredecessorAction::Disconnect => self.handing_over.successor = None,
            PredecessorAction::StartTimer { ms } => self.start_step_timer(ms),
            PredecessorAction::StopTimer => self.handing_over.step_timer += 1,
        }
    }

    fn start_step_timer(&mut self, ms: u64) {
        self.handing_over.step_timer += 1;
        let timed_out = SuccessorMessage::TimedOut(self.handing_over.step_timer);
        self.schedule(ms as f64, DispatcherMessage::Successor(timed_out));
    }

    fn send_welcome(&mut self) {
        let socket = self.handing_over.listening_socket.as_ref();
        let descriptor = match socket.map(TcpListener::try_clone) {
            Some(Ok(socket)) => Some(socket.into()),
            Some(Err(error)) => {
                error!(self.log, "listening socket not handed over"; "error" => error.to_string());
                None
            }
            None => None,
        };
        let message = ToSuccessor::Welcome {
            version: dunlinspread_handover::PROTOCOL_VERSION,
            body_hash_key: self.keys.body_hash_key(),
            evacuated: self.status.is_evacuated(),
        };
        self.handing_over.send_with(SuccessorFrame { message, descriptor });
    }

    /// Removes all requests that have not run from the controller's queue and holds them until the transfer
    /// ends.
    fn hold_queued_requests(&mut self) {
        info!(self.log, "handover: transfer begins"; "keys" => self.keys.len());
        // The controller's timer wakes the dispatcher, which then answers the held requests that are due.
        self.start_controller(None);
        self.dispatch_event(Event::SuspendStarts(true));
        let has_not_run = |request: &Request| {
            matches!(request.state, ExecutionState::Queued)
                && !request.run_requested
                && request.reply.is_some()
        };
        for id in self.requests.ids_where(has_not_run) {
            let Some(mut request) = self.requests.remove(id) else { continue };
            self.keys.finish_attempt(id, &request);
            if let Some(reply) = request.reply.take() {
                self.hold(request.into_incoming(id, reply));
            }
            self.events.push_back(Event::ClientGone(id));
        }
        self.dispatch_pending_events();
    }

    fn send_snapshot(&mut self) {
        let now = self.clock.now();
        if let Some(until) = self.keys.blackout_until() {
            self.handing_over.send(ToSuccessor::KeysUnknown { until });
        }
        let mut keys = 0;
        let records = self.keys.export(now).map(|record| key_to_wire(&record)).inspect(|_| keys += 1);
        for piece in snapshot_pieces(records) {
            self.handing_over.send(piece);
        }
        self.handing_over.send(ToSuccessor::SnapshotEnd { keys });
        self.handing_over.state_machine.snapshot_sent(keys);
    }

    /// Completes the handover: the successor decides on requests from now on, and the held requests are
    /// forwarded.
    fn hand_over(&mut self) {
        let held_count = self.handing_over.held.len();
        let held = self.handing_over.held.take_all();
        // Clients get the health of this process until the successor reports its own.
        let healthy = self.health.is_healthy();
        let advertised_share = self.advertised_share;
        self.handing_over.successor_health = SuccessorHealth { healthy, advertised_share };
        info!(self.log, "handover: committed"; "held_requests" => held_count,
            "running_requests" => self.requests.len());
        self.status.set_handed_over(true);
        self.update_readiness();
        self.send_to_listener(ListenerMessage::HandOver);
        self.send_to_registry(RegistryMessage::SetActive(false));
        for incoming in held {
            self.forward(incoming);
        }
        self.report_runs_in_progress();
    }

    /// Continues serving after a failed transfer: the held requests are decided here.
    fn resume(&mut self) {
        warn!(self.log, "handover: given up, serving on"; "held_requests" => self.handing_over.held.len());
        let held = self.handing_over.held.take_all();
        self.dispatch_event(Event::SuspendStarts(false));
        for incoming in held {
            self.decide_arrival(incoming);
        }
    }

    /// Resumes ownership when the successor ends after the commit. The keys that the successor ran are
    /// unknown.
    fn take_back(&mut self) {
        warn!(self.log, "handover: successor ended, serving again";
            "forwarded_requests" => self.handing_over.forwarded.len());
        self.fail_forwarded();
        let until = self.latest_unknown_window_end();
        self.keys.begin_blackout(until);
        self.status.set_handed_over(false);
        self.update_readiness();
        self.send_to_listener(ListenerMessage::StartAccepting);
        self.send_to_registry(RegistryMessage::SetActive(true));
        self.report_health();
        self.dispatch_event(Event::SuspendStarts(false));
    }

    /// Holds, forwards or answers a decoded request if a handover is in progress. Returns it if it is to be
    /// decided here.
    pub(super) fn hold_or_forward(&mut self, incoming: IncomingRequest) -> Option<IncomingRequest> {
        if !self.handing_over.is_under_way() {
            return Some(incoming);
        }
        if self.requests.id_of_attempt(incoming.attempt).is_some() {
            return Some(incoming);
        }
        if !self.has_room() && incoming.key.is_some() {
            // A rejection would promise that no attempt of the key ran, which this process can't know.
            self.answer_unadmitted(incoming, Response::Failed);
            return None;
        }
        if !self.has_room() {
            return Some(incoming);
        }
        if self.handing_over.is_transferring() {
            self.hold(incoming);
        } else {
            self.forward(incoming);
        }
        None
    }

    /// Holds a request until the transfer ends.
    fn hold(&mut self, incoming: IncomingRequest) {
        if let Some(progress) = &incoming.reply.progress {
            progress.set_held(self.clock.now());
        }
        let due_at = self.due_at(&incoming);
        self.handing_over.held.insert(incoming.id, due_at, incoming);
    }

    /// Forwards a request to the successor, which counts it in its own metrics from now on.
    fn forward(&mut self, incoming: IncomingRequest) {
        let due_at = self.due_at(&incoming);
        let answer_by = due_at - self.answer_lead_ms();
        if answer_by <= self.clock.now() {
            return self.answer_unforwarded(incoming);
        }
        self.status.telemetry().record_end_without_response();
        let (request, mut reply) = request_to_wire(incoming, answer_by);
        if let Some(progress) = &reply.progress {
            progress.set_forwarded(self.clock.now());
        }
        reply.class = None;
        self.handing_over.forwarded.insert(request.request, due_at, reply);
        self.handing_over.send(ToSuccessor::Request(request));
    }

    /// Cancels a held or forwarded request whose client is gone. Returns whether there was one with this id.
    pub(super) fn cancel_held_or_forwarded(&mut self, id: RequestId) -> bool {
        if self.handing_over.forwarded.remove(id).is_some() {
            self.handing_over.send(ToSuccessor::Cancel { request: id });
            return true;
        }
        let was_held = self.handing_over.held.remove(id).is_some();
        if was_held {
            self.status.telemetry().record_end_without_response();
        }
        was_held
    }

    fn on_successor_frame(&mut self, frame: ToPredecessor) {
        match frame {
            ToPredecessor::Response(ForwardedResponse { request, outcome, advertised_share }) => {
                if let Some(reply) = self.handing_over.forwarded.remove(request) {
                    send_forwarded_response(
                        self.clock.now(),
                        reply,
                        response_from_wire(outcome),
                        advertised_share,
                    );
                }
            }
            ToPredecessor::Health { healthy, advertised_share } => {
                self.handing_over.successor_health = SuccessorHealth { healthy, advertised_share };
            }
            // These are steps of the protocol, which arrive as `SuccessorMessage::Step`.
            ToPredecessor::Hello { .. } | ToPredecessor::RequestTransfer | ToPredecessor::Loaded { .. } => {}
        }
    }

    /// Fails all forwarded requests, because they may have run at the successor.
    fn fail_forwarded(&mut self) {
        let share = self.handing_over.successor_health.advertised_share;
        let now = self.clock.now();
        for reply in self.handing_over.forwarded.take_all() {
            send_forwarded_response(now, reply, Response::Failed, share);
        }
    }

    /// Reports to the successor how the run of a request's key ended.
    pub(super) fn report_run_end(&self, id: RequestId, run_result: &RunResult<Rc<[u8]>>) {
        if !self.handing_over.is_under_way() {
            return;
        }
        if let Some(key) = self.requests.get(id).and_then(|request| request.key.as_ref()) {
            self.report_key_run_end(&key.key, id, run_end_to_wire(run_result));
        }
    }

    /// Reports to the successor how the run of a key ended. `id` is the id of that run in this process.
    pub(super) fn report_key_run_end(&self, key: &[u8], id: RequestId, run_end: RunEnd) {
        if self.handing_over.is_under_way() {
            let key = key.to_vec();
            self.handing_over.send(ToSuccessor::RunEnded { key, attempt: id, end: run_end });
        }
    }

    /// Reports to the successor the load of the runs that continue in this process and in its own
    /// predecessor.
    pub(super) fn report_runs_in_progress(&self) {
        if !self.handing_over.is_handed_over() {
            return;
        }
        let running = self.requests.running();
        let predecessor_load = self.taking_over.predecessor_load;
        let memory_kb = running.request_kb * self.settings.run_memory_factor + predecessor_load.memory_kb;
        let runs = (running.count as u64).saturating_add(predecessor_load.runs);
        self.handing_over.send(ToSuccessor::RunsInProgress { runs, memory_kb });
    }
}

/// Sends the response to a forwarded request to its client.
pub(super) fn send_forwarded_response(
    now: f64,
    reply: ReplyHandle,
    response: Response,
    advertised_share: Option<f64>,
) {
    if let Some(progress) = &reply.progress {
        progress.set_answered(now);
    }
    let message = ConnectionMessage::Response { tag: reply.tag, response, advertised_share };
    if reply.mailbox.try_send(message).is_err() {
        // The connection is closed to bound the memory that a client that does not read its responses can
        // take.
        reply.mailbox.close();
    }
}
