//! Requests that fall due while they are held for a successor or forwarded to it: the admission controller does not know of
//! them.
//!
//! The successor is told of a due time that is earlier by the lead of this process, so that it answers first where it can.

use super::handing_over::pass_on;
use super::state::Dispatcher;
use crate::admission::AdmissionController;
use crate::server::messages::{IncomingRequest, Response};
use dunlinspread_handover::ToSuccessor;

/// The rejection of a request whose client has no time left for another server.
const DUE: Response = Response::Rejected { retry_after_ms: 0.0, do_not_retry: true };

impl Dispatcher {
    /// Answers the requests that are held or forwarded, and due.
    pub(super) fn answer_due_in_handover(&mut self) {
        if self.handing_over.len() == 0 {
            return;
        }
        let answered_by = self.clock.now() + self.answer_lead_ms();
        while let Some((_, incoming)) = self.handing_over.held.take_due_by(answered_by) {
            self.answer_held(incoming);
        }
        self.fail_forwarded_due_by(answered_by);
    }

    /// Returns when the client of a request stops waiting, Unix ms.
    pub(super) fn due_at(&self, incoming: &IncomingRequest) -> f64 {
        let client_timeout_ms = self.settings.classes[incoming.class].client_timeout_ms;
        incoming.received_at + incoming.timeout_ms.unwrap_or(client_timeout_ms)
    }

    /// Rejects a request that was held. Until the commit this process owns the keys, and knows which of them ran.
    fn answer_held(&mut self, mut incoming: IncomingRequest) {
        let key = incoming.key.take().map(|key| self.keys.request_key(key, &incoming.body));
        let response = self.rejection_unless_run(&incoming, key.as_ref(), DUE);
        self.answer_unadmitted(incoming, response);
    }

    /// Fails forwarded requests that the successor has not answered: they may have run there.
    fn fail_forwarded_due_by(&mut self, time: f64) {
        let share = self.handing_over.successor_health.advertised_share;
        let now = self.clock.now();
        while let Some((id, reply)) = self.handing_over.forwarded.take_due_by(time) {
            self.handing_over.send(ToSuccessor::Cancel { request: id });
            pass_on(now, reply, Response::Failed, share);
        }
    }

    /// Answers a request that came too late to be forwarded. Whether its key ran is not known here after the commit.
    pub(super) fn answer_unforwarded(&mut self, incoming: IncomingRequest) {
        let may_have_run = incoming.key.is_some() || self.withdrawn_runs.contains(incoming.attempt);
        self.answer_unadmitted(incoming, if may_have_run { Response::Failed } else { DUE });
    }

    /// Returns how long before it is due a request is answered, ms.
    pub(super) fn answer_lead_ms(&self) -> f64 {
        self.controller.as_ref().map_or(0.0, AdmissionController::answer_lead_ms)
    }
}
