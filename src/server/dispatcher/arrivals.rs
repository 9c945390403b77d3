//! Arrival of requests: the checks before admission, each with an early return, and the event for the
//! controller.

use super::request::{Request, RequestKey};
use super::state::Dispatcher;
use crate::admission::{Arrival, Event, RequestId};
use crate::server::messages::{IncomingRequest, Response};
use dunlinspread_idempotency::Lookup;

/// Limit on how far in the future a receipt time may be, ms. A later one would retain its key until that
/// time.
const MAX_FUTURE_MS: f64 = 1000.0;
/// Retry-After while responses can't be billed, ms. The ledger retries the disk several times within this
/// delay.
const UNBILLED_RETRY_AFTER_MS: f64 = 1000.0;

impl Dispatcher {
    /// Handles a decoded request: decides on it here, or holds or forwards it for the successor of this
    /// process.
    pub(super) fn on_arrival(&mut self, mut incoming: IncomingRequest) {
        self.status.telemetry().record_received();
        incoming.reply.class = Some(incoming.class);
        if let Some(incoming) = self.hold_or_forward(incoming) {
            self.decide_arrival(incoming);
        }
    }

    /// Decides on a request: answers it immediately, or adds it to the table and passes it to the controller.
    pub(super) fn decide_arrival(&mut self, mut incoming: IncomingRequest) {
        self.start_controller(None);
        let now = self.clock.now();
        if let Some(progress) = &incoming.reply.progress {
            progress.set_decided(now);
        }
        incoming.received_at = incoming.received_at.min(now + MAX_FUTURE_MS);
        // The worker pool identifies runs by attempt number, so that a second request with the same number is
        // invalid.
        if self.requests.id_of_attempt(incoming.attempt).is_some() {
            return self.send_response(incoming.reply, Response::Invalid);
        }
        let key = incoming.key.take().map(|key| self.keys.request_key(key, &incoming.body));
        if let Some(response) = self.capacity_response(&incoming, key.as_ref()) {
            return self.answer_unadmitted(incoming, response);
        }
        let duplicate_of = match self.register_key(&incoming, key.as_ref()) {
            Lookup::New => None,
            Lookup::DuplicateOf(original) => Some(original),
            // All attempts of a request have the same body. A request with a different body must not get the
            // result of the key's run, and running it would break the guarantee of the key.
            Lookup::BodyMismatch => return self.send_response(incoming.reply, Response::Invalid),
            // The request was received within the window of a run but read so late that the key has expired:
            // it must not run again, and the result is no longer stored.
            Lookup::Expired => return self.answer_unadmitted(incoming, Response::Failed),
        };
        let arrival = arrival_event(&incoming, now, duplicate_of);
        self.requests.insert(incoming.id, Request::new(incoming, key));
        self.dispatch_event(Event::Arrival(arrival));
    }

    /// Returns the latest time at which the window of a run that another process has started by now may end,
    /// Unix ms.
    pub(super) fn latest_unknown_window_end(&self) -> f64 {
        self.keys.latest_window_end(self.clock.now() + MAX_FUTURE_MS)
    }

    /// Returns the response to a request for which there is no capacity or that can't be billed; `None` if
    /// neither holds.
    fn capacity_response(&self, incoming: &IncomingRequest, key: Option<&RequestKey>) -> Option<Response> {
        let can_bill = self.can_bill();
        if can_bill && self.has_room() && key.is_none_or(|key| self.keys.has_room(key)) {
            return None;
        }
        let sends_retry_after = !can_bill && self.settings.retry_after;
        let retry_after_ms = if sends_retry_after { UNBILLED_RETRY_AFTER_MS } else { 0.0 };
        let retry_after_ms = retry_after_ms.min(self.settings.max_retry_after_ms);
        let rejection = Response::Rejected { retry_after_ms, do_not_retry: false };
        Some(self.rejection_unless_run(incoming, key, rejection))
    }

    /// Returns `rejection` for a request outside the table, or a failure if this attempt or another one of
    /// its key may have run: a rejection promises that neither did.
    pub(super) fn rejection_unless_run(
        &self,
        incoming: &IncomingRequest,
        key: Option<&RequestKey>,
        rejection: Response,
    ) -> Response {
        let ran_before = self.undelivered_runs.contains(incoming.attempt);
        let may_have_run = key.is_some_and(|key| self.keys.is_in_use(key, incoming.received_at));
        if ran_before || may_have_run { Response::Failed } else { rejection }
    }

    /// Registers the attempt with its key. A request without a key is always new.
    fn register_key(&mut self, incoming: &IncomingRequest, key: Option<&RequestKey>) -> Lookup {
        match key {
            Some(key) => self.keys.register_attempt(key, incoming.class, incoming.id, incoming.received_at),
            None => Lookup::New,
        }
    }
}

/// Returns the arrival event of the request for the controller.
fn arrival_event(incoming: &IncomingRequest, now: f64, duplicate_of: Option<RequestId>) -> Arrival {
    Arrival {
        id: incoming.id,
        class: incoming.class,
        shareable: incoming.shareable,
        request_kb: incoming.request_kb,
        priority: incoming.priority,
        age_ms: (now - incoming.received_at).max(0.0),
        tenant: incoming.tenant,
        deadline: incoming.timeout_ms.map(|timeout_ms| incoming.received_at + timeout_ms),
        duplicate_of,
        ..Arrival::default()
    }
}
