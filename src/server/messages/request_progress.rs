//! How far a request has come: when it was read, decided, held or forwarded in an upgrade, and answered.

use std::cell::Cell;

/// What is known of a request when it is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// The number that the client gave this attempt.
    pub attempt: u64,
    /// When the request reached the machine, as its client says, Unix ms.
    pub received_at: f64,
    /// When its client stops waiting, Unix ms.
    pub due_at: f64,
    /// When its connection was accepted, Unix ms.
    pub accepted_at: f64,
    /// When its bytes were read from the connection, Unix ms.
    pub read_at: f64,
}

/// The stages of a request, which the frontend and the dispatcher share.
#[derive(Debug)]
pub struct RequestProgress {
    /// What was known when it was read.
    pub request: ReadRequest,
    decided_at: Cell<Option<f64>>,
    held_at: Cell<Option<f64>>,
    forwarded_at: Cell<Option<f64>>,
    answered_at: Cell<Option<f64>>,
}

impl RequestProgress {
    /// Returns the progress of a request that was read.
    pub fn new(request: ReadRequest) -> RequestProgress {
        RequestProgress {
            request,
            decided_at: Cell::new(None),
            held_at: Cell::new(None),
            forwarded_at: Cell::new(None),
            answered_at: Cell::new(None),
        }
    }

    /// Records that the dispatcher decided whether to admit it.
    pub fn set_decided(&self, now: f64) {
        self.decided_at.set(Some(now));
    }

    /// Records that it is held until a transfer to a successor ends.
    pub fn set_held(&self, now: f64) {
        self.held_at.set(Some(now));
    }

    /// Records that it was forwarded to the successor.
    pub fn set_forwarded(&self, now: f64) {
        self.forwarded_at.set(Some(now));
    }

    /// Records that its final response was given to its connection.
    pub fn set_answered(&self, now: f64) {
        self.answered_at.set(Some(now));
    }

    /// Returns when it was decided; `None` if it was not, or by another process.
    pub fn decided_at(&self) -> Option<f64> {
        self.decided_at.get()
    }

    /// Returns since when it was held during a transfer to a successor; `None` if it was not.
    pub fn held_at(&self) -> Option<f64> {
        self.held_at.get()
    }

    /// Returns when it was forwarded to the successor; `None` if it was not.
    pub fn forwarded_at(&self) -> Option<f64> {
        self.forwarded_at.get()
    }

    /// Returns when its final response was given to its connection; `None` if it was not.
    pub fn answered_at(&self) -> Option<f64> {
        self.answered_at.get()
    }
}
