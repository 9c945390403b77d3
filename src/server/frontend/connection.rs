//! State of one connection, shared by its task and the connection table.

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

/// Maximum number of open requests on one connection; further ones are invalid. The protocol allows half as
/// many.
const MAX_OPEN_REQUESTS: usize = 64;
/// Maximum number of responses queued for the writer of a connection. Past it the connection is closed.
const RESPONSE_QUEUE_CAPACITY: usize = 2 * MAX_OPEN_REQUESTS;

/// A request whose response is pending.
pub(super) struct OpenRequest {
    /// Id of the request in the dispatcher.
    pub(super) id: RequestId,
    /// Progress of the request through its stages.
    pub(super) progress: Rc<RequestProgress>,
}

/// What a response that is about to be written belongs to.
pub(super) enum Settlement {
    /// The response belongs to this request, which was open.
    Request(OpenRequest),
    /// The response belongs to a health check or an invalid request.
    Other,
    /// The response is no longer pending and must not be written.
    NotOwed,
}

/// One client connection.
pub(super) struct Connection {
    /// Socket of the connection, while the connection's task owns it.
    socket: Weak<Async<TcpStream>>,
    /// Time at which the connection was accepted, Unix ms.
    pub(super) accepted_at: f64,
    /// State machine of the connection.
    pub(super) state: RefCell<ConnectionState>,
    /// Whether all responses are written and only the client's close is awaited, so that the connection may
    /// be dropped.
    pub(super) is_lingering: Cell<bool>,
    responses: Sender<ConnectionMessage>,
    /// Whether the writer is writing bytes to the socket.
    pub(super) is_writing: Cell<bool>,
    /// Open requests by message id.
    open_requests: RefCell<HashMap<u64, OpenRequest>>,
    /// Number of pending responses to health checks and invalid requests.
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

    /// Returns whether a response is still pending.
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

    /// Returns whether unread bytes of the client are in the system's receive buffer. They may hold a
    /// request, which a close would lose.
    fn has_unread_bytes(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return false };
        matches!(socket.get_ref().peek(&mut [0]), Ok(length) if length > 0)
    }

    /// Returns the client's address as text, for the log; `gone` once the socket is closed.
    pub(super) fn client_address(&self) -> String {
        let address = self.socket.upgrade().and_then(|socket| socket.get_ref().peer_addr().ok());
        address.map_or_else(|| "gone".to_owned(), |address| address.to_string())
    }

    /// Returns whether the connection stays open because of unread bytes.
    fn is_held_open(&self, now: f64, cause: CloseCause) -> bool {
        let has_unread_bytes = self.state.borrow().awaits_turn() || self.has_unread_bytes();
        has_unread_bytes && self.state.borrow_mut().hold_open_for_unread_bytes(now, cause)
    }

    /// Advances the state machine to `now`: notifies an idle client, and closes the connection if a time
    /// limit has passed and no bytes are unread. At the end of the process it closes the connection in any
    /// case.
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

    /// Evicts the connection and returns true, unless bytes of the client are still unread. The client is
    /// notified; requests that cross the notification are served, and a later [`Connection::advance`] closes
    /// the connection.
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

    /// Closes the response queue. If no response waits to be written, the sending side of the socket is shut
    /// down at once: the client then sees the end even if the connection's task is delayed.
    fn close_sending_side(&self) {
        let is_writer_idle = self.responses.is_empty() && !self.is_writing.get();
        if let Some(socket) = self.socket.upgrade().filter(|_| is_writer_idle) {
            let _ = socket.get_ref().shutdown(Shutdown::Write);
        }
        self.close_response_queue();
    }

    /// Stops accepting requests and responses from `now` on.
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

    /// Returns whether the response queue is closed.
    pub(super) fn is_response_queue_closed(&self) -> bool {
        self.responses.is_closed()
    }

    /// Returns the handle to which the response to a message is sent.
    pub(super) fn reply_handle(&self, message_id: u64) -> ReplyHandle {
        ReplyHandle { mailbox: self.responses.clone(), tag: message_id, class: None, progress: None }
    }

    /// Returns whether a request with this message id is open.
    pub(super) fn is_open(&self, message_id: u64) -> bool {
        self.open_requests.borrow().contains_key(&message_id)
    }

    /// Returns whether another request may be opened.
    pub(super) fn may_open_request(&self) -> bool {
        self.open_requests.borrow().len() < MAX_OPEN_REQUESTS
    }

    /// Adds an open request.
    pub(super) fn open_request(&self, message_id: u64, request: OpenRequest) {
        self.open_requests.borrow_mut().insert(message_id, request);
    }

    /// Removes and returns an open request whose client no longer waits.
    pub(super) fn cancel_request(&self, message_id: u64) -> Option<OpenRequest> {
        self.open_requests.borrow_mut().remove(&message_id)
    }

    /// Removes and returns all open requests.
    pub(super) fn cancel_all_requests(&self) -> Vec<OpenRequest> {
        self.open_requests.borrow_mut().drain().map(|(_, request)| request).collect()
    }

    /// Records a pending response to a health check or an invalid request.
    pub(super) fn expect_other_response(&self) {
        self.other_responses_owed.set(self.other_responses_owed.get() + 1);
    }

    /// Settles a message whose response has arrived, and returns what the response belongs to. A request that
    /// the client cancelled is no longer owed a response.
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
