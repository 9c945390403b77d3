//! Taking over from a predecessor: this process is the successor.
//!
//! # Invariants
//! - Before the commit no request is decided here.
//! - A key that runs at the predecessor is not run here; its duplicates get the result once it is told.

use super::handover_records::{incoming_request, received_key, received_run_end};
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
    /// Waits for a predecessor to hand over: `can_serve` is told once the link to the worker pool is up, and
    /// `responses` takes the responses to forwarded requests.
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
                // The channel has room for this one message.
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

    /// The link to the worker pool is up.
    pub(super) fn on_can_serve(&mut self) {
        self.was_linked = true;
        self.update_readiness();
        if let Some(can_serve) = &self.taking_over.can_serve {
            // One message that waits is enough.
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
        let imported = self.keys.import(received_key(record), id);
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
        self.tell_listener(ListenerMessage::StartAccepting);
        self.tell_registry(RegistryMessage::SetActive(true));
        self.update_readiness();
        self.tell_predecessor_health();
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
            // Steps of the protocol, which come as such.
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
        let known = (request.class as usize) < self.settings.classes.len();
        if !known {
            return self.send_response(reply, crate::server::messages::Response::Invalid);
        }
        self.taking_over.forwarded.insert(number, id);
        self.on_arrival(incoming_request(request, id, reply));
    }

    fn on_predecessor_run_ended(&mut self, key: &[u8], attempt: u64, end: RunEnd) {
        let pending = self.taking_over.pending_runs.get(key).filter(|pending| pending.attempt == attempt);
        let Some(id) = pending.map(|pending| pending.id) else { return };
        self.taking_over.pending_runs.remove(key);
        self.report_key_run_end(key, id, end.clone());
        let finished = self.keys.finish_imported_run(&Rc::from(key), id, received_run_end(end));
        self.answer_waiters(finished);
        self.dispatch_pending_events();
    }

    fn answer_waiters(&mut self, finished: FinishedRun<Rc<[u8]>>) {
        for waiter in finished.waiters {
            self.finish_reuse(waiter, finished.result.clone());
        }
    }

    /// The predecessor ended: how its runs ended is not known, and its clients are gone.
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

    /// Has the controller count what the predecessor still runs.
    fn set_predecessor_load(&mut self, load: PredecessorLoad) {
        self.taking_over.predecessor_load = load;
        let runs = usize::try_from(load.runs).unwrap_or(usize::MAX);
        self.start_controller(None);
        self.dispatch_event(Event::ExternalLoad { runs, memory_kb: load.memory_kb });
        self.report_runs_in_progress();
    }

    /// Tells the predecessor what to tell its clients, if that has changed.
    pub(super) fn tell_predecessor_health(&mut self) {
        let Some(predecessor) = &self.taking_over.predecessor else { return };
        let health = (self.is_healthy(), self.advertised_share);
        if self.taking_over.told_health == Some(health) {
            return;
        }
        let (healthy, advertised_share) = health;
        // The queue is unbounded; it is closed once the link has ended, which is told by a message of its own.
        let _ = predecessor.try_send(ToPredecessor::Health { healthy, advertised_share });
        self.taking_over.told_health = Some(health);
    }

    /// Forgets forwarded requests that are over.
    pub(super) fn sweep_forwarded(&mut self) {
        let requests = &self.requests;
        self.taking_over.forwarded.retain(|_, id| requests.get(*id).is_some());
    }
}
