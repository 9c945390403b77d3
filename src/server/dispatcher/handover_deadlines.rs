//! Requests that fall due while they are held for a successor: the admission controller does not know of them.

use super::state::Dispatcher;
use crate::admission::AdmissionController;
use crate::server::messages::{IncomingRequest, Response};

/// The rejection of a request whose client has no time left for another server.
const DUE: Response = Response::Rejected { retry_after_ms: 0.0, do_not_retry: true };

impl Dispatcher {
    /// Answers the requests that are held and due.
    pub(super) fn answer_due_in_handover(&mut self) {
        if self.handing_over.len() == 0 {
            return;
        }
        let answered_by = self.clock.now() + self.answer_lead_ms();
        while let Some((_, incoming)) = self.handing_over.held.take_due_by(answered_by) {
            self.answer_held(incoming);
        }
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

    /// Returns how long before it is due a request is answered, ms.
    fn answer_lead_ms(&self) -> f64 {
        self.controller.as_ref().map_or(0.0, AdmissionController::answer_lead_ms)
    }
}
