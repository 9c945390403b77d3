//! Handover from a predecessor, in which this process is the successor.
//!
//! # Invariants
//! - Before the commit this process decides on no request.
//! - A key whose run is in progress at the predecessor is not run here. Its duplicates get the result once
//!   the predecessor reports it.

use super::handover_records::{key_from_wire, request_from_wire, run_end_from_wire};
use super::handover_state::{PendingRun, PredecessorLoad};
use super::state::Dispatcher;
use crate::admission::Event;
use crate::server::messages::{
    ConnectionMessage, ListenerMessage, PredecessorMessage, RegistryMessage, ReplyHandle,
};
use async_channel::Sender;
use dunlinspread_handover::{
    ForwardedRequest, KeyRecord, RunEnd, RunRecordState, ToPredecessor, ToSuccessor,
};
use dunlinspread_idempotency::FinishedRun;
use slog::{info, warn};
use std::rc::Rc;

impl Dispatcher {
    /// Prepares for a handover from a predecessor: `can_serve` is notified once the link to the worker pool
    /// is up, and `responses` receives the responses to forwarded requests.
    pub fn await_handover(&mut self, can_serve: Sender<()>, responses: Sender<ConnectionMessage>) {
        self.taking_over.is_owner = false;
        self.taking_over.can_serve = Some(can_serve);
        self.taking_over.responses = Some(responses);
    }

    pub(super) fn on_predecessor_message(&mut self, message: PredecessorMessage) {
        match message {
            PredecessorMessage::Welcome { body_hash_key, evacuated } => {
                self.keys.set_body_hash_key(body_hash_key);
                self.status.set_evacuated(evacuated);
            }
            PredecessorMessage::LoadKeys { records, loaded } => {
                let all_loaded = records.into_iter().all(|record| self.load_key(record));
                // The channel has capacity for this one message.
                let _ = loaded.try_send(all_loaded);
            }
            PredecessorMessage::DiscardKeys => {
                self.keys.clear();
                self.taking_over.pending_runs.clear();
            }
            PredecessorMessage::BecomeOwner(predecessor) => self.become_owner(predecessor),
            PredecessorMessage::Frame(frame) => self.on_predecessor_frame(frame),
            PredecessorMessage::Gone => self.on_predecessor_gone(),
            PredecessorMessage::KeysUnknown => {
                let until = self.latest_unknown_window_end();
                self.keys.begin_blackout(until);
            }
        }
    }

    /// Updates the readiness and notifies the takeover task that the link to the worker pool is up.
    pub(super) fn on_pool_linked(&mut self) {
        self.was_linked = true;
        self.update_readiness();
        if let Some(can_serve) = &self.taking_over.can_serve {
            // If the channel is full, the notification is already pending.
            let _ = can_serve.try_send(());
        }
    }

    fn load_key(&mut self, record: KeyRecord) -> bool {
        let id = self.taking_over.request_ids.next_id();
        let running = record.run.as_ref().filter(|run| run.state == RunRecordState::Running);
        if let Some(run) = running {
            let pending = PendingRun { attempt: run.attempt, id };
            self.taking_over.pending_runs.insert(record.key.clone(), pending);
        }
        let imported = self.keys.import(key_from_wire(record), id);
        if let Err(error) = &imported {
            warn!(self.log, "handover: key not loaded"; "error" => %error);
        }
        imported.is_ok()
    }

    fn become_owner(&mut self, predecessor: Option<Sender<ToPredecessor>>) {
        info!(self.log, "handover: this process serves"; "keys" => self.keys.len(),
            "running_keys" => self.taking_over.pending_runs.len());
        self.taking_over.is_owner = true;
        self.taking_over.predecessor = predecessor;
        self.send_to_listener(ListenerMessage::StartAccepting);
        self.send_to_registry(RegistryMessage::SetActive(true));
        self.update_readiness();
        self.report_health_to_predecessor();
    }

    fn on_predecessor_frame(&mut self, frame: ToSuccessor) {
        match frame {
            ToSuccessor::Request(request) => self.on_forwarded_request(request),
            ToSuccessor::Cancel { request } => {
                if let Some(id) = self.taking_over.forwarded.remove(&request) {
                    self.on_client_gone(id);
                }
            }
            ToSuccessor::RunEnded { key, attempt, end } => self.on_predecessor_run_ended(&key, attempt, end),
            ToSuccessor::RunsInProgress { runs, memory_kb } => {
                self.set_predecessor_load(PredecessorLoad { runs, memory_kb });
            }
            ToSuccessor::KeysUnknown { until } => self.keys.begin_blackout(until),
            // These are steps of the protocol, which the takeover task handles.
            ToSuccessor::Welcome { .. }
            | ToSuccessor::Refuse { .. }
            | ToSuccessor::Keys(_)
            | ToSuccessor::SnapshotEnd { .. }
            | ToSuccessor::Commit => {}
        }
    }

    fn on_forwarded_request(&mut self, request: ForwardedRequest) {
        let Some(responses) = self.taking_over.responses.clone() else { return };
        let (number, id) = (request.request, self.taking_over.request_ids.next_id());
        let reply = ReplyHandle { mailbox: responses, tag: number, class: None, progress: None };
        let class_is_known = (request.class as usize) < self.settings.classes.len();
        if !class_is_known {
            return self.send_response(reply, crate::server::messages::Response::Invalid);
        }
        self.taking_over.forwarded.insert(number, id);
        self.on_arrival(request_from_wire(request, id, reply));
    }

    fn on_predecessor_run_ended(&mut self, key: &[u8], attempt: u64, end: RunEnd) {
        let pending = self.taking_over.pending_runs.get(key).filter(|pending| pending.attempt == attempt);
        let Some(id) = pending.map(|pending| pending.id) else { return };
        self.taking_over.pending_runs.remove(key);
        self.report_key_run_end(key, id, end.clone());
        let finished = self.keys.finish_imported_run(&Rc::from(key), id, run_end_from_wire(end));
        self.answer_waiters(finished);
        self.dispatch_pending_events();
    }

    fn answer_waiters(&mut self, finished: FinishedRun<Rc<[u8]>>) {
        for waiter in finished.waiters {
            self.finish_reuse(waiter, finished.result.clone());
        }
    }

    /// Handles the end of the predecessor: the outcome of its remaining runs is unknown, and its clients are
    /// gone.
    fn on_predecessor_gone(&mut self) {
        info!(self.log, "handover: predecessor ended"; "unknown_runs" => self.taking_over.pending_runs.len());
        self.taking_over.predecessor = None;
        for (key, pending) in std::mem::take(&mut self.taking_over.pending_runs) {
            self.report_key_run_end(&key, pending.id, RunEnd::Failed);
        }
        for failed in self.keys.end_import() {
            for waiter in failed.waiters {
                self.finish_reuse(waiter, None);
            }
        }
        for (_, id) in std::mem::take(&mut self.taking_over.forwarded) {
            self.on_client_gone(id);
        }
        self.set_predecessor_load(PredecessorLoad::default());
    }

    /// Records the load of the runs that continue in the predecessor, and passes it to the controller.
    fn set_predecessor_load(&mut self, load: PredecessorLoad) {
        self.taking_over.predecessor_load = load;
        let runs = usize::try_from(load.runs).unwrap_or(usize::MAX);
        self.start_controller(None);
        self.dispatch_event(Event::ExternalLoad { runs, memory_kb: load.memory_kb });
        self.report_runs_in_progress();
    }

    /// Reports health and advertised share to the predecessor, for its clients, if either has changed.
    pub(super) fn report_health_to_predecessor(&mut self) {
        let Some(predecessor) = &self.taking_over.predecessor else { return };
        let health = (self.is_healthy(), self.advertised_share);
        if self.taking_over.reported_health == Some(health) {
            return;
        }
        let (healthy, advertised_share) = health;
        // The queue is unbounded. It is closed once the link has ended, which a separate message reports.
        let _ = predecessor.try_send(ToPredecessor::Health { healthy, advertised_share });
        self.taking_over.reported_health = Some(health);
    }

    /// Removes the entries of forwarded requests that have ended.
    pub(super) fn sweep_forwarded(&mut self) {
        let requests = &self.requests;
        self.taking_over.forwarded.retain(|_, id| requests.get(*id).is_some());
    }
}
