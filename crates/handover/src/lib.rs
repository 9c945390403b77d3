//! Handover from a serving process (the *predecessor*) to a new one (the *successor*): the messages, their
//! encoding, and a state machine for each side.
//!
//! The successor connects to the predecessor's Unix socket and identifies itself; this connection is the
//! *link*. Once the successor can serve, it requests the transfer. The predecessor then freezes, sends a
//! snapshot of all idempotency keys, and commits once the successor has confirmed their number. From the
//! commit on, the successor owns the keys, and the predecessor forwards all requests that it still receives.
//!
//! [`Predecessor`] and [`Successor`] are state machines that take an event and return the actions to perform.
//! Both handle every event in every phase and never panic. [`ToPredecessor`] and [`ToSuccessor`] are the
//! frames. The state machines process only the control frames; the callers handle forwarded requests,
//! responses and ends of runs.
//!
//! # Invariants
//! - At most one of the two processes owns the keys at any time. While `Commit` is in transit, neither owns
//!   them.
//! - The successor owns the keys only after it has loaded as many as the predecessor announced.
//! - A frozen predecessor either commits or resumes.
//!
//! The invariants rely on frames being delivered in order, and on one rule for the callers: after the commit,
//! a live successor never closes the link, because the predecessor takes the end of the link for the end of
//! the successor's process.
//!
//! This crate does no I/O and reads no clock. `docs/design/upgrade.md` gives the design reasons, and
//! `docs/formats/handover.md` specifies the encoding.
#![forbid(unsafe_code)]

mod codec;
mod fault;
mod message;
mod predecessor;
mod successor;

pub use codec::{DecodeError, MAX_FRAME_BYTES, SNAPSHOT_PIECE_BYTES, snapshot_pieces};
pub use fault::Fault;
pub use message::{
    ForwardedOutcome, ForwardedRequest, ForwardedResponse, KeyRecord, PROTOCOL_VERSION, RefuseReason, RunEnd,
    RunRecord, RunRecordState, ServerIdentity, ToPredecessor, ToSuccessor,
};
pub use predecessor::{
    HELLO_TIMEOUT_MS, LOAD_TIMEOUT_MS, Predecessor, PredecessorAction, PredecessorEvent, PredecessorInput,
    PredecessorPhase, TRANSFER_REQUEST_TIMEOUT_MS,
};
pub use successor::{
    COMMIT_TIMEOUT_MS, ConnectionFailure, FIRST_RECONNECT_MS, GiveUpReason, MAX_RECONNECTS,
    SNAPSHOT_TIMEOUT_MS, Successor, SuccessorAction, SuccessorEvent, SuccessorInput, SuccessorPhase,
    WELCOME_TIMEOUT_MS,
};
