//! Deadlines of requests that are held for a successor or forwarded to it, which the admission controller
//! does not track.
//!
//! A request is forwarded with a due time that is earlier by this process's answer lead, so that the
//! successor answers it first if it can.

use super::handing_over::send_forwarded_response;
use super::state::Dispatcher;
use crate::admission::AdmissionController;
use crate::server::messages::{IncomingRequest, Response};
use dunlinspread_handover::ToSuccessor;

/// Response to a due request that did not run. Its client has no time left to retry on another server.
const DUE_REJECTION: Response = Response::Rejected { retry_after_ms: 0.0, do_not_retry: true };

impl Dispatcher {
    /// Answers the held and forwarded requests that are due.
    pub(super) fn answer_due_in_handover(&mut self) {
        if self.handing_over.waiting_count() == 0 {
            return;
        }
        let due_by = self.clock.now() + self.answer_lead_ms();
        while let Some((_, incoming)) = self.handing_over.held.take_due_by(due_by) {
            self.answer_held(incoming);
        }
        self.fail_forwarded_due_by(due_by);
    }

    /// Returns the time at which the client of a request stops waiting, Unix ms.
    pub(super) fn due_at(&self, incoming: &IncomingRequest) -> f64 {
        let client_timeout_ms = self.settings.classes[incoming.class].client_timeout_ms;
        incoming.received_at + incoming.timeout_ms.unwrap_or(client_timeout_ms)
    }

    /// Answers a held request that is due: rejects it, or fails it if it may have run. Until the commit this
    /// process owns the keys, and knows which of them ran.
    fn answer_held(&mut self, mut incoming: IncomingRequest) {
        let key = incoming.key.take().map(|key| self.keys.request_key(key, &incoming.body));
        let response = self.rejection_unless_run(&incoming, key.as_ref(), DUE_REJECTION);
        self.answer_unadmitted(incoming, response);
    }

    /// Fails the forwarded requests due by `time`, Unix ms, that the successor has not answered: they may
    /// have run there.
    fn fail_forwarded_due_by(&mut self, time: f64) {
        let share = self.handing_over.successor_health.advertised_share;
        let now = self.clock.now();
        while let Some((id, reply)) = self.handing_over.forwarded.take_due_by(time) {
            self.handing_over.send(ToSuccessor::Cancel { request: id });
            send_forwarded_response(now, reply, Response::Failed, share);
        }
    }

    /// Answers a request that is due too soon to be forwarded. After the commit, whether its key ran is
    /// unknown here.
    pub(super) fn answer_unforwarded(&mut self, incoming: IncomingRequest) {
        let may_have_run = incoming.key.is_some() || self.undelivered_runs.contains(incoming.attempt);
        self.answer_unadmitted(incoming, if may_have_run { Response::Failed } else { DUE_REJECTION });
    }

    /// Returns how long before its due time a request is answered, ms.
    pub(super) fn answer_lead_ms(&self) -> f64 {
        self.controller.as_ref().map_or(0.0, AdmissionController::answer_lead_ms)
    }
}
