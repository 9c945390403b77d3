//! The state of one connection that its task and the connection table share.

use super::connection_state::{
    CloseCause, ConnectionPolicy, ConnectionState, EvictionRank, FinishReason, Transition,
};
use crate::admission::RequestId;
use crate::server::fault_injection::{self, StopPoint};
use crate::server::messages::{ConnectionMessage, ReplyHandle, RequestProgress, Response};
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::rc::{Rc, Weak};

/// Requests open on one connection, past which further ones are invalid: the protocol allows half as many.
const MAX_OPEN_REQUESTS: usize = 64;
/// Responses that wait for the writer of a connection, past which it is closed.
const RESPONSE_QUEUE_CAPACITY: usize = 2 * MAX_OPEN_REQUESTS;

/// A request whose response is owed.
pub(super) struct OpenRequest {
    /// The dispatcher's id.
    pub(super) id: RequestId,
    /// How far it has come.
    pub(super) progress: Rc<RequestProgress>,
}

/// What became of what is owed to a message, when its response is there.
pub(super) enum Settlement {
    /// It is a request's, which was open.
    Request(OpenRequest),
    /// It is that of a health check or of an invalid request.
    Other,
    /// No response is owed any more.
    NotOwed,
}

/// One client connection.
pub(super) struct Connection {
    /// Its socket, while its task has it.
    socket: Weak<Async<TcpStream>>,
    /// When it was accepted, Unix ms.
    pub(super) accepted_at: f64,
    /// Its state machine.
    pub(super) state: RefCell<ConnectionState>,
    /// Whether all responses are written and only the client's close is awaited, so that it may be dropped.
    pub(super) is_lingering: Cell<bool>,
    responses: Sender<ConnectionMessage>,
    /// Whether the writer has bytes in hand.
    pub(super) is_writing: Cell<bool>,
    /// Open requests by message id.
    open_requests: RefCell<HashMap<u64, OpenRequest>>,
    /// Responses owed to health checks and to invalid requests.
    other_responses_owed: Cell<usize>,
}

impl Connection {
    /// Returns a connection accepted at `now`, and the receiver of its responses.
    pub(super) fn new(now: f64, socket: &Rc<Async<TcpStream>>) -> (Connection, Receiver<ConnectionMessage>) {
        let (responses, receiver) = async_channel::bounded(RESPONSE_QUEUE_CAPACITY);
        let connection = Connection {
            socket: Rc::downgrade(socket),
            accepted_at: now,
            state: RefCell::new(ConnectionState::new(now)),
            is_lingering: Cell::new(false),
            responses,
            is_writing: Cell::new(false),
            open_requests: RefCell::default(),
            other_responses_owed: Cell::new(0),
        };
        (connection, receiver)
    }

    /// Returns whether a response is still owed.
    pub(super) fn response_owed(&self) -> bool {
        !self.open_requests.borrow().is_empty() || self.other_responses_owed.get() > 0
    }

    /// Returns whether requests are accepted.
    pub(super) fn accepts_requests(&self) -> bool {
        self.state.borrow().accepts_requests()
    }

    /// Returns the rank for eviction, or `None` while the connection can't be evicted.
    pub(super) fn eviction_rank(&self, now: f64) -> Option<EvictionRank> {
        self.state.borrow().eviction_rank(now, self.response_owed())
    }

    /// Returns whether bytes of the client wait in the system's buffer: a request may be among them, which a close would
    /// lose.
    fn has_unread_bytes(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return false };
        matches!(socket.get_ref().peek(&mut [0]), Ok(length) if length > 0)
    }

    /// Returns the client's address as text, for the log.
    pub(super) fn client_address(&self) -> String {
        let address = self.socket.upgrade().and_then(|socket| socket.get_ref().peer_addr().ok());
        address.map_or_else(|| "gone".to_owned(), |address| address.to_string())
    }

    /// Returns whether the connection stays open for bytes that are still unread.
    fn is_held_open(&self, now: f64, cause: CloseCause) -> bool {
        let has_unread_bytes = self.state.borrow().awaits_turn() || self.has_unread_bytes();
        has_unread_bytes && self.state.borrow_mut().hold_open_for_unread_bytes(now, cause)
    }

    /// Advances the state machine to `now`: notifies an idle client, and closes the connection if it stays and has sent
    /// nothing that is still unread.
    pub(super) fn advance(&self, now: f64, policy: ConnectionPolicy) {
        let would_finish = self.state.borrow().would_finish(now, self.response_owed(), policy);
        if would_finish && !policy.finish_all {
            if self.is_held_open(now, CloseCause::TimeLimit) {
                return;
            }
            fault_injection::maybe_stop(StopPoint::CloseChecked);
        }
        let transition = self.state.borrow_mut().advance(now, self.response_owed(), policy);
        self.carry_out(transition);
    }

    /// Evicts the connection and returns true, unless bytes of the client are still unread. Its client is notified; what
    /// crosses the notification is served, and a later [`Connection::advance`] closes the connection.
    pub(super) fn try_evict(&self, now: f64) -> bool {
        if self.is_held_open(now, CloseCause::Eviction) {
            return false;
        }
        fault_injection::maybe_stop(StopPoint::EvictionChecked);
        let transition = self.state.borrow_mut().evict(now);
        self.carry_out(transition);
        true
    }

    fn carry_out(&self, transition: Transition) {
        match transition {
            Transition::Stay => {}
            Transition::NotifyShutdown => self.notify_shutdown(),
            Transition::Finish => self.close_sending_side(),
        }
    }

    /// Closes the queue of responses, and where nothing waits to be written shuts the socket's sending side at once: the
    /// client then sees the end before anything can hold up the connection's task.
    fn close_sending_side(&self) {
        let is_writer_idle = self.responses.is_empty() && !self.is_writing.get();
        if let Some(socket) = self.socket.upgrade().filter(|_| is_writer_idle) {
            let _ = socket.get_ref().shutdown(Shutdown::Write);
        }
        self.close_response_queue();
    }

    /// Accepts no request and no response from `now` on.
    pub(super) fn finish(&self, now: f64) {
        self.state.borrow_mut().finish(now, FinishReason::ClosedByTask);
        self.close_response_queue();
    }

    fn notify_shutdown(&self) {
        if self.responses.try_send(ConnectionMessage::Shutdown).is_err() {
            self.close_response_queue();
        }
    }

    fn close_response_queue(&self) {
        self.responses.close();
    }

    /// Returns whether the queue of responses is closed.
    pub(super) fn is_response_queue_closed(&self) -> bool {
        self.responses.is_closed()
    }

    /// Returns where the response to a message goes.
    pub(super) fn reply_handle(&self, message_id: u64) -> ReplyHandle {
        ReplyHandle { mailbox: self.responses.clone(), tag: message_id, class: None, progress: None }
    }

    /// Returns whether a request with this message id is open.
    pub(super) fn is_open(&self, message_id: u64) -> bool {
        self.open_requests.borrow().contains_key(&message_id)
    }

    /// Returns whether a further request may be opened.
    pub(super) fn may_open_request(&self) -> bool {
        self.open_requests.borrow().len() < MAX_OPEN_REQUESTS
    }

    /// Opens a request.
    pub(super) fn open_request(&self, message_id: u64, request: OpenRequest) {
        self.open_requests.borrow_mut().insert(message_id, request);
    }

    /// Closes a request whose client no longer waits, and returns it.
    pub(super) fn cancel_request(&self, message_id: u64) -> Option<OpenRequest> {
        self.open_requests.borrow_mut().remove(&message_id)
    }

    /// Closes all requests and returns them.
    pub(super) fn cancel_all_requests(&self) -> Vec<OpenRequest> {
        self.open_requests.borrow_mut().drain().map(|(_, request)| request).collect()
    }

    /// Records that a response is owed to a health check or an invalid request.
    pub(super) fn expect_other_response(&self) {
        self.other_responses_owed.set(self.other_responses_owed.get() + 1);
    }

    /// Settles what is owed to a message, whose response has to be written if it is owed. A request that the client
    /// cancelled is owed none.
    pub(super) fn settle(&self, message_id: u64, response: &Response) -> Settlement {
        if let Some(request) = self.open_requests.borrow_mut().remove(&message_id) {
            return Settlement::Request(request);
        }
        match response {
            Response::Completed(_) | Response::Rejected { .. } | Response::Failed => Settlement::NotOwed,
            Response::Invalid | Response::Health(_) => {
                self.other_responses_owed.set(self.other_responses_owed.get().saturating_sub(1));
                Settlement::Other
            }
        }
    }
}
