//! What a server (publisher or relay) and its clients (relays or subscribers) tell each other. A session is one
//! connection; its messages arrive in order or the connection ends.
//!
//! A session runs like this: the client sends [`ToServer::Watch`] with its position. The server answers with the
//! [`ToClient::Deltas`] that lead from there to its head, or with [`ToClient::Resync`] if it can't (another epoch, a
//! revision compacted away, or a digest that differs). The client then sends [`ToServer::FetchDifferences`] with its
//! bucket digests, and the server streams the buckets that differ, as they stood at one position, in
//! [`ToClient::Piece`]s with at most [`PIECE_WINDOW`] unconfirmed, ended by [`ToClient::SnapshotEnd`]; the client applies
//! them all at once if the digest fits. Deltas go on from there. A server whose places for snapshots are taken says
//! [`ToClient::Busy`] and closes.

use crate::resource::{Digest, Position, Resource, Transaction};
use std::sync::Arc;

/// Buckets of a table, by the hash of the key: 64 groups of 64, so that copying on write stays small.
pub const BUCKETS: usize = 4096;
/// Pieces of a snapshot that may be on their way unconfirmed in one session.
pub const PIECE_WINDOW: u32 = 4;
/// The most bytes of resources in one piece; a bucket is never split.
pub const PIECE_BYTES: usize = 64 * 1024;
/// The most zones and refusals in one progress report.
pub const MAX_REPORTED_ZONES: usize = 256;
/// The most refusals that one progress report names; the rest is only counted.
pub const MAX_REPORTED_REFUSALS: usize = 16;

/// The most that a heartbeat says of its server's age, about 50 days; also what one says that knows nothing of it.
pub const MAX_AGE_MS: u64 = u32::MAX as u64;

/// What a client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It fans out to others.
    Relay,
    /// A round server.
    Subscriber,
}

/// Who a client is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its name, unique in the fleet.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// What it is.
    pub role: Role,
}

/// How far the subscribers of a zone below a client have come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ZoneProgress {
    /// The zone.
    pub zone: Arc<str>,
    /// Subscribers connected below.
    pub subscribers: u32,
    /// The least position in force among them.
    pub least: Position,
    /// Subscribers that keep some change out of force because they refused it.
    pub refusing: u32,
}

/// One subscriber's refusal of one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The subscriber.
    pub member: Arc<str>,
    /// The transaction.
    pub position: Position,
    /// Why, at most 256 bytes.
    pub reason: Arc<str>,
}

/// The content of one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BucketContent {
    /// Which bucket, below [`BUCKETS`].
    pub bucket: u16,
    /// All of its resources.
    pub resources: Vec<Resource>,
}

/// From a client to its server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToServer {
    /// The first message of a session.
    Watch {
        /// Who asks.
        member: Member,
        /// What it has; the default position if it has nothing.
        position: Position,
        /// The digest of its table there.
        digest: Digest,
    },
    /// The answer to [`ToClient::Resync`]; unasked from a client that gets deltas and finds that its table doesn't fit.
    FetchDifferences {
        /// The digest of each bucket, [`BUCKETS`] of them; empty for a client that has nothing.
        bucket_digests: Vec<u64>,
    },
    /// That piece was taken; more may come.
    PieceTaken {
        /// The piece.
        sequence: u32,
    },
    /// How far the client, or all below it, have come. Sent when something changed, not more often than the settings say.
    Progress {
        /// By zone.
        zones: Vec<ZoneProgress>,
        /// New refusals, at most [`MAX_REPORTED_REFUSALS`].
        refusals: Vec<Refusal>,
    },
    /// Nothing new; sent when nothing else was for a while, so that a client that died without a word is noticed.
    Alive,
}

/// From a server to a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToClient {
    /// Transactions in order, the first of which follows the client's position.
    Deltas(Vec<Arc<Transaction>>),
    /// The client's position can't be followed by deltas.
    Resync {
        /// The server's head.
        head: Position,
    },
    /// No place; the server closes after it.
    Busy {
        /// Not before this time, ms.
        retry_after_ms: u64,
    },
    /// Buckets that differ.
    Piece {
        /// From 0, one more for each piece of this snapshot.
        sequence: u32,
        /// The buckets.
        buckets: Vec<BucketContent>,
    },
    /// The snapshot is whole.
    SnapshotEnd {
        /// What it is a snapshot of.
        position: Position,
        /// The digest of the whole table there.
        digest: Digest,
        /// How many pieces there were.
        pieces: u32,
        /// When its last transaction was accepted, Unix ms.
        published_unix_ms: u64,
    },
    /// Sent at a steady pace, so that a silent link is noticed and a client knows how old its state is.
    Heartbeat {
        /// The server's head.
        head: Position,
        /// How long ago the server last knew itself at the publisher's head, [`MAX_AGE_MS`] at most; 0 at the publisher.
        age_ms: u64,
    },
}
