//! What goes into and comes out of a [`Follower`](super::Follower).

use crate::backoff::BackoffSettings;
use crate::message::{Member, Role, ToClient, ToServer};
use crate::resource::{Millis, Position, Transaction};
use crate::server::Server;
use crate::table::Table;
use std::sync::Arc;

/// How a follower is set up.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// Who it is.
    pub member: Member,
    /// Whom it may watch. For a relay: servers of the level above only, so that relays never watch each other in a ring.
    pub servers: Vec<Server>,
    /// Seed of the jitter.
    pub seed: u64,
    /// Delays between attempts.
    pub backoff: BackoffSettings,
    /// A connection has to be made within this time, ms.
    pub connect_limit_ms: u64,
    /// A link on which nothing arrives for this time is dropped, ms.
    pub silence_ms: u64,
    /// A server that leads to no head, though it is heard, is left after this time, ms.
    pub stall_ms: u64,
    /// On a farther server, a nearer one is tried again after about this time, ms; each wait is half to one and a half of it.
    pub return_ms: u64,
    /// A server that says that its own state is older than this, because it is cut off from the publisher, is left for one
    /// that is fresher, ms; each session waits up to half of it longer. A relay waits for less than those below it, so
    /// that it mends itself before they leave it.
    pub stale_after_ms: u64,
    /// The longest wait that a server without a place for a snapshot can ask for, ms.
    pub max_busy_wait_ms: u64,
    /// The most resources of a table; one that would grow past it is not taken.
    pub max_resources: usize,
}

impl FollowerSettings {
    /// The defaults for `member`, which may watch `servers`.
    pub fn new(member: Member, servers: Vec<Server>, seed: u64) -> FollowerSettings {
        let stale_after_ms = match member.role {
            Role::Relay => 3_000,
            Role::Subscriber => 5_000,
        };
        FollowerSettings {
            member,
            servers,
            seed,
            backoff: BackoffSettings::default(),
            connect_limit_ms: 1_500,
            silence_ms: 3_500,
            stall_ms: 3_500,
            return_ms: 20_000,
            stale_after_ms,
            max_busy_wait_ms: 5_000,
            max_resources: 1_000_000,
        }
    }
}

/// What happens to a follower. After it asked for [`LinkAction::Disconnect`], nothing more of that connection may be
/// handed in; what was still to arrive is dropped by the task that owns the socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// The connection that was asked for is made.
    Connected,
    /// It could not be made.
    ConnectFailed,
    /// A message arrived on it.
    Received(ToClient),
    /// It ended, by the other side or by a fault.
    Disconnected,
    /// Time has passed; needed at [`Follower::deadline`](super::Follower::deadline) at the latest.
    Tick,
}

/// What the task that owns the socket has to do. There is at most one connection at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to this server; answered by `Connected` or `ConnectFailed`.
    Connect(Server),
    /// Send on the open connection.
    Send(ToServer),
    /// Give up the connection, or the attempt to make it; not answered.
    Disconnect(DisconnectReason),
}

/// What a follower wants done.
#[derive(Clone, Debug)]
pub enum FollowerAction {
    /// For the socket.
    Link(LinkAction),
    /// The table moved forward.
    Advanced(Advance),
}

/// A step forward of the table; [`Follower::table`](super::Follower::table) is what it leads to.
#[derive(Clone, Debug)]
pub enum Advance {
    /// By transactions, each of which followed the one before.
    Deltas {
        /// The table before the first.
        before: Table,
        /// At least one.
        transactions: Vec<Arc<Transaction>>,
    },
    /// To a snapshot, in one step.
    Snapshot {
        /// The table before; [`Table::changes_to`] gives the difference.
        before: Table,
        /// The position of the snapshot.
        position: Position,
        /// When its last transaction was accepted, Unix ms.
        published_unix_ms: u64,
    },
}

/// Why a follower gives up a connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// The connection was not made in time.
    #[error("not connected within {0} ms")]
    ConnectLimit(Millis),
    /// Nothing arrived for too long.
    #[error("nothing heard for {0} ms")]
    Silent(Millis),
    /// The server is heard but leads to no head.
    #[error("no progress for {0} ms, though the server is heard")]
    Stalled(Millis),
    /// The server's head is before this client's position.
    #[error("the server is behind: its head is {head:?}, this client has {position:?}")]
    ServerBehind {
        /// The server's head.
        head: Position,
        /// This client's position.
        position: Position,
    },
    /// The server has no place for a snapshot.
    #[error("the server has no place for a snapshot, next attempt in {0} ms")]
    Busy(Millis),
    /// What the server sends does not fit together; the old table is kept.
    #[error("{0}")]
    Fault(#[from] SessionFault),
    /// The server is heard but is cut off from the publisher, and another may not be.
    #[error("the server's state is {0} ms old, trying another")]
    Stale(Millis),
    /// The server on trial is no better than the one that was left for it.
    #[error("the server's state is {0} ms old, returning to the one before")]
    NoFresher(Millis),
    /// A nearer server is tried again.
    #[error("trying a nearer server again")]
    TryingNearer,
}

/// What does not fit in what a server sends. The table is never changed by it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionFault {
    /// A transaction that does not follow the table's position.
    #[error("transaction {found:?} does not follow {position:?}")]
    Gap {
        /// The table's position.
        position: Position,
        /// The transaction's position.
        found: Position,
    },
    /// The digest after a transaction is not the one it states.
    #[error("the digest after transaction {0:?} is not the one it states")]
    TransactionDigest(Position),
    /// The digest of the staged table is not the one the snapshot states.
    #[error("the digest of the snapshot at {0:?} is not the one it states")]
    SnapshotDigest(Position),
    /// A piece or an end of a snapshot where none was asked for.
    #[error("part of a snapshot that was not asked for")]
    UnexpectedSnapshot,
    /// A piece out of order, or an end that counts other pieces than came.
    #[error("snapshot piece {found}, wanted {wanted}")]
    PieceOrder {
        /// The number that was due.
        wanted: u32,
        /// The number that came.
        found: u32,
    },
    /// A bucket that is out of range, comes twice, or holds a resource of another bucket.
    #[error("snapshot bucket {0} is not valid")]
    Bucket(u16),
    /// More resources than the settings allow.
    #[error("more than {0} resources")]
    TooManyResources(usize),
}

/// Counters of a follower, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Sessions opened.
    pub sessions: u64,
    /// Transactions applied.
    pub transactions: u64,
    /// Snapshots asked for.
    pub resyncs: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Transactions or snapshots whose digest did not fit.
    pub digest_mismatches: u64,
    /// Servers left because they were behind.
    pub servers_behind: u64,
    /// Servers left because they were cut off from the publisher.
    pub servers_stale: u64,
    /// Answers that there is no place for a snapshot.
    pub busy: u64,
    /// Sessions given up because of what the server sent.
    pub faults: u64,
}
