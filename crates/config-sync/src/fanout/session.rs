//! State of one session of the fan-out.

use super::snapshot::Snapshot;
use crate::message::{Member, ZoneProgress};
use crate::resource::{Digest, Millis, Position};

/// Stage of a session.
#[derive(Debug)]
pub(super) enum Stage {
    /// The server waits for the session's `Watch`.
    Opened,
    /// The client has been sent everything up to the last flush.
    Live,
    /// The client is sent the log in successive messages.
    CatchingUp {
        /// Position up to which the log was sent.
        position: Position,
    },
    /// The client is ahead of this server; it is served as soon as the head reaches its position.
    Ahead {
        /// Position of the client.
        position: Position,
        /// Digest of the client's table at that position.
        digest: Digest,
    },
    /// The client was sent a `Resync`; the server waits for its `FetchDifferences`.
    Resync,
    /// The client receives a snapshot; deltas continue from the snapshot's position.
    Snapshot(Box<Snapshot>),
}

impl Stage {
    /// Returns whether the session counts toward the limit of snapshots.
    pub(super) fn uses_snapshot_slot(&self) -> bool {
        matches!(self, Stage::Resync | Stage::Snapshot(_))
    }
}

/// A session with one client.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) stage: Stage,
    /// Time at which the session entered its stage, or at which a piece was last confirmed in it.
    pub(super) since: Millis,
    /// Identity of the client, once its `Watch` has arrived.
    pub(super) member: Option<Member>,
    /// Number of pieces sent of the last snapshot.
    pub(super) pieces_sent: u32,
    /// Number of those pieces that the client confirmed.
    pub(super) pieces_taken: u32,
    /// Number of unsent bytes last reported by the owner of the sockets.
    pub(super) backlog_bytes: usize,
    /// Number of heartbeats sent since the client's last message.
    pub(super) unanswered_heartbeats: u32,
    /// The session's contribution to the progress by zone.
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
            unanswered_heartbeats: 0,
            reported: Vec::new(),
        }
    }
}
