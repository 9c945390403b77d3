//! Progress of a request: when it was read, decided on, held or forwarded in a handover, and answered.

use std::cell::Cell;

/// Properties of a request that are known when it is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// Number that the client assigned to this attempt.
    pub attempt: u64,
    /// When the request reached the machine, as stated by its client, Unix ms.
    pub received_at: f64,
    /// When the request's client stops waiting, Unix ms.
    pub due_at: f64,
    /// When the request's connection was accepted, Unix ms.
    pub accepted_at: f64,
    /// When the request's bytes were read from the connection, Unix ms.
    pub read_at: f64,
}

/// Times of the stages of a request, shared by the frontend and the dispatcher.
#[derive(Debug)]
pub struct RequestProgress {
    /// Properties that were known when the request was read.
    pub request: ReadRequest,
    decided_at: Cell<Option<f64>>,
    held_at: Cell<Option<f64>>,
    forwarded_at: Cell<Option<f64>>,
    answered_at: Cell<Option<f64>>,
}

impl RequestProgress {
    /// Returns the progress of a request that was just read.
    pub fn new(request: ReadRequest) -> RequestProgress {
        RequestProgress {
            request,
            decided_at: Cell::new(None),
            held_at: Cell::new(None),
            forwarded_at: Cell::new(None),
            answered_at: Cell::new(None),
        }
    }

    /// Records when the dispatcher decided on the request, Unix ms.
    pub fn set_decided(&self, now: f64) {
        self.decided_at.set(Some(now));
    }

    /// Records when the dispatcher started to hold the request until a transfer to a successor ends, Unix ms.
    pub fn set_held(&self, now: f64) {
        self.held_at.set(Some(now));
    }

    /// Records when the request was forwarded to the successor, Unix ms.
    pub fn set_forwarded(&self, now: f64) {
        self.forwarded_at.set(Some(now));
    }

    /// Records when the final response was passed to the request's connection, Unix ms.
    pub fn set_answered(&self, now: f64) {
        self.answered_at.set(Some(now));
    }

    /// Returns when the dispatcher decided on the request, Unix ms; `None` if it did not, or another process
    /// did.
    pub fn decided_at(&self) -> Option<f64> {
        self.decided_at.get()
    }

    /// Returns when the dispatcher started to hold the request during a transfer, Unix ms; `None` if it was
    /// not held.
    pub fn held_at(&self) -> Option<f64> {
        self.held_at.get()
    }

    /// Returns when the request was forwarded to the successor, Unix ms; `None` if it was not.
    pub fn forwarded_at(&self) -> Option<f64> {
        self.forwarded_at.get()
    }

    /// Returns when the final response was passed to the request's connection, Unix ms; `None` if it was not.
    pub fn answered_at(&self) -> Option<f64> {
        self.answered_at.get()
    }
}
