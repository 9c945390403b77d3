//! Messages between a server (publisher or relay) and its clients (relays or subscribers). A session is one
//! connection; its messages arrive in order or the connection ends.
//!
//! A session proceeds as follows: the client sends [`ToServer::Watch`] with its position. The server answers
//! with the [`ToClient::Deltas`] that lead from there to its head, or with [`ToClient::Resync`] if it can't
//! (another epoch, a revision compacted away, or a digest that differs). The client then sends
//! [`ToServer::FetchDifferences`] with its bucket digests, and the server streams the buckets that differ, as
//! of one position, in [`ToClient::Piece`]s with at most [`PIECE_WINDOW`] unconfirmed, followed by
//! [`ToClient::SnapshotEnd`]; the client applies them all at once if the digest matches. Deltas continue from
//! there. A server that has reached its limit of snapshots sends [`ToClient::Busy`] and closes.

use crate::resource::{Digest, Position, Resource, Transaction};
use std::sync::Arc;

/// Number of buckets of a table, by the hash of the key: 64 groups of 64, so that copy-on-write copies
/// little.
pub const BUCKETS: usize = 4096;
/// Maximum number of unconfirmed pieces of a snapshot in one session.
pub const PIECE_WINDOW: u32 = 4;
/// Maximum size of the resources in one piece, in bytes; a bucket is never split, so a single larger one is
/// sent.
pub const PIECE_BYTES: usize = 64 * 1024;
/// Maximum number of zones in one progress report.
pub const MAX_REPORTED_ZONES: usize = 256;
/// Maximum number of refusals in one progress report; further ones wait for the next report.
pub const MAX_REPORTED_REFUSALS: usize = 16;

/// Maximum age of the server's state in a heartbeat, about 50 days; also sent if the age is unknown.
pub const MAX_AGE_MS: u64 = u32::MAX as u64;

/// Role of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A relay, which forwards to other clients.
    Relay,
    /// The subscriber of a round server.
    Subscriber,
}

/// Identity of a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name of the client, unique in the fleet.
    pub name: Arc<str>,
    /// Zone of the client.
    pub zone: Arc<str>,
    /// Region of the client.
    pub region: Arc<str>,
    /// Role of the client.
    pub role: Role,
}

/// Progress of the subscribers of one zone below a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ZoneProgress {
    /// The zone.
    pub zone: Arc<str>,
    /// Number of subscribers connected below.
    pub subscribers: u32,
    /// Lowest position in force among these subscribers.
    pub least: Position,
    /// Number of subscribers that hold back some change because they refused it.
    pub refusing: u32,
}

/// Refusal of one transaction by one subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Name of the subscriber.
    pub member: Arc<str>,
    /// Position of the transaction.
    pub position: Position,
    /// Reason, at most 256 bytes.
    pub reason: Arc<str>,
}

/// Content of one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BucketContent {
    /// Number of the bucket, below [`BUCKETS`].
    pub bucket: u16,
    /// All resources of the bucket.
    pub resources: Vec<Resource>,
}

/// A message from a client to its server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToServer {
    /// The first message of a session.
    Watch {
        /// Identity of the client.
        member: Member,
        /// Position of the client's table; the default position if the client has none.
        position: Position,
        /// Digest of the client's table at that position.
        digest: Digest,
    },
    /// The answer to [`ToClient::Resync`]; also sent unsolicited by a client whose table doesn't match the
    /// deltas that it receives.
    FetchDifferences {
        /// Digest of each bucket, [`BUCKETS`] of them; empty if the client has no table.
        bucket_digests: Vec<u64>,
    },
    /// Confirms a piece of a snapshot, which allows the server to send another one.
    PieceTaken {
        /// Sequence number of the piece.
        sequence: u32,
    },
    /// Progress of the client, or of all subscribers below it. Sent after a change, at most once per
    /// configured interval.
    Progress {
        /// Progress by zone.
        zones: Vec<ZoneProgress>,
        /// New refusals, at most [`MAX_REPORTED_REFUSALS`].
        refusals: Vec<Refusal>,
    },
    /// Keep-alive, sent if the client has sent nothing else for a while, so that the server detects dead
    /// clients.
    Alive,
}

/// A message from a server to a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToClient {
    /// Transactions in order, the first of which follows the client's position.
    Deltas(Vec<Arc<Transaction>>),
    /// The server can't serve deltas from the client's position.
    Resync {
        /// Head of the server.
        head: Position,
    },
    /// The server has reached its limit of sessions or snapshots; it closes the connection after this
    /// message.
    Busy {
        /// Minimum delay before the client's next attempt, ms.
        retry_after_ms: u64,
    },
    /// Buckets of a snapshot that differ from the client's.
    Piece {
        /// Sequence number of the piece within the snapshot, from 0.
        sequence: u32,
        /// Contents of the buckets.
        buckets: Vec<BucketContent>,
    },
    /// End of a snapshot: all its pieces were sent.
    SnapshotEnd {
        /// Position of the snapshot.
        position: Position,
        /// Digest of the whole table at that position.
        digest: Digest,
        /// Number of pieces of the snapshot.
        pieces: u32,
        /// Time at which the publisher accepted the snapshot's last transaction, Unix ms.
        published_unix_ms: u64,
    },
    /// Sent periodically, so that clients detect a silent link and know how old their state is.
    Heartbeat {
        /// Head of the server.
        head: Position,
        /// Time since the server was last known to be at the publisher's head, ms, at most [`MAX_AGE_MS`]; 0
        /// at the publisher.
        age_ms: u64,
    },
}
