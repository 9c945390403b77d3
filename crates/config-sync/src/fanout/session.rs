//! What the fan-out knows of one session.

use super::snapshot::Snapshot;
use crate::message::{Member, ZoneProgress};
use crate::resource::{Digest, Millis, Position};

/// How far a session is.
#[derive(Debug)]
pub(super) enum Stage {
    /// Its `Watch` is awaited.
    Opened,
    /// It has everything up to the last flush.
    Live,
    /// It is sent the log, message by message, and has it up to this position.
    CatchingUp {
        /// What it was sent.
        position: Position,
    },
    /// It has more than this server; it is served as soon as the head reaches what it has.
    Ahead {
        /// What it has.
        position: Position,
        /// Its digest there.
        digest: Digest,
    },
    /// It was sent a `Resync`; its `FetchDifferences` is awaited.
    Resync,
    /// It receives a snapshot; deltas go on from the snapshot's position.
    Snapshot(Box<Snapshot>),
}

impl Stage {
    /// Whether it takes one of the places for snapshots.
    pub(super) fn takes_place(&self) -> bool {
        matches!(self, Stage::Resync | Stage::Snapshot(_))
    }
}

/// One session.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) stage: Stage,
    /// When it entered the stage, or last confirmed a piece in it.
    pub(super) since: Millis,
    /// Who it is, once it watches.
    pub(super) member: Option<Member>,
    /// Pieces of the last snapshot that were sent.
    pub(super) pieces_sent: u32,
    /// Those that it confirmed.
    pub(super) pieces_taken: u32,
    /// Its unsent bytes as last told.
    pub(super) backlog_bytes: usize,
    /// Heartbeats that it was sent since it was last heard.
    pub(super) unanswered: u32,
    /// What it contributes to the progress of zones.
    pub(super) reported: Vec<ZoneProgress>,
}

impl Session {
    pub(super) fn new(now: Millis) -> Session {
        Session {
            stage: Stage::Opened,
            since: now,
            member: None,
            pieces_sent: 0,
            pieces_taken: 0,
            backlog_bytes: 0,
            unanswered: 0,
            reported: Vec::new(),
        }
    }
}
