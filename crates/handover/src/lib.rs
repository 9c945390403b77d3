//! Handover of a serving process (the *predecessor*) to a new one (the *successor*): messages, their encoding, and the
//! decisions of both sides.
//!
//! The successor connects to the predecessor's Unix socket and names itself. Once it can serve, it asks for the
//! transfer; the predecessor freezes, sends a snapshot of all idempotency keys, and commits once the successor has
//! confirmed their number. From the commit on the successor owns the keys, and the predecessor forwards what it still
//! gets.
//!
//! [`Predecessor`] and [`Successor`] are state machines: an event goes in, actions come out. Both have an outcome for
//! every event in every phase and never panic. [`ToPredecessor`] and [`ToSuccessor`] are the frames, of which the
//! machines see only the control part; forwarded requests, responses and ends of runs are their callers'.
//!
//! # Invariants
//! - At most one of the two owns the keys at any time; between the predecessor's `Commit` and its reading nobody does.
//! - The successor owns the keys only after it has loaded as many as the predecessor announced.
//! - A frozen predecessor commits or resumes.
//!
//! They rest on the order of frames on the link, and on one rule for the callers: after the commit the successor never
//! closes the link while it lives, since its end tells the predecessor that the successor's process has ended.
//!
//! Nothing here does I/O or reads a clock. `docs/design/upgrade.md` has the reasons, `docs/formats/handover.md` the
//! bytes.
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
    COMMIT_TIMEOUT_MS, FIRST_RECONNECT_MS, FailedTry, GiveUpReason, MAX_RECONNECTS, SNAPSHOT_TIMEOUT_MS,
    Successor, SuccessorAction, SuccessorEvent, SuccessorInput, SuccessorPhase, WELCOME_TIMEOUT_MS,
};
