//! Settings, events and actions of a [`Follower`](super::Follower).

use crate::backoff::BackoffSettings;
use crate::message::{Member, Role, ToClient, ToServer};
use crate::resource::{Millis, Position, Transaction};
use crate::server::Server;
use crate::table::Table;
use std::sync::Arc;

/// Settings of a follower.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// Identity of the follower.
    pub member: Member,
    /// Servers that the follower may watch. For a relay, only servers of the level above, so that relays
    /// never watch each other in a cycle.
    pub servers: Vec<Server>,
    /// Seed of the jitter.
    pub seed: u64,
    /// Delays between connection attempts.
    pub backoff: BackoffSettings,
    /// Timeout of a connection attempt, ms.
    pub connect_limit_ms: u64,
    /// Time without messages after which the connection is closed, ms.
    pub silence_ms: u64,
    /// Time without progress toward the server's head after which the server is left although its messages
    /// arrive, ms.
    pub stall_ms: u64,
    /// Approximate time on a farther server after which a nearer one is tried again, ms; each wait is between
    /// half and one and a half of it.
    pub return_ms: u64,
    /// Age of a server's state, ms, past which the server is left for a fresher one, because it is cut off
    /// from the publisher; each session waits up to half of it longer. A relay's limit is lower than that of
    /// its clients, so that it recovers before they leave it.
    pub stale_after_ms: u64,
    /// Maximum wait that a busy server can request, ms.
    pub max_busy_wait_ms: u64,
    /// Maximum number of resources of a table; a larger table is rejected.
    pub max_resources: usize,
}

impl FollowerSettings {
    /// Returns the defaults for `member`, which may watch `servers`.
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

/// Input events of a follower. After [`LinkAction::Disconnect`], no further event of that connection may be
/// passed in; the task that owns the socket drops whatever still arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// The requested connection is established.
    Connected,
    /// The requested connection could not be established.
    ConnectFailed,
    /// A message arrived on the connection.
    Received(ToClient),
    /// The connection was closed by the server or by a fault.
    Disconnected,
    /// Time has passed; required at [`Follower::deadline`](super::Follower::deadline) at the latest.
    Tick,
}

/// Actions for the task that owns the socket. There is at most one connection at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to this server; answered by `Connected` or `ConnectFailed`.
    Connect(Server),
    /// Send a message on the open connection.
    Send(ToServer),
    /// Close the connection or abort the connection attempt; not answered.
    Disconnect(DisconnectReason),
}

/// Actions requested by a follower.
#[derive(Clone, Debug)]
pub enum FollowerAction {
    /// An action for the task that owns the socket.
    Link(LinkAction),
    /// The table advanced.
    Advanced(Advance),
}

/// An advance of the table to [`Follower::table`](super::Follower::table).
#[derive(Clone, Debug)]
pub enum Advance {
    /// An advance by consecutive transactions.
    Deltas {
        /// Table before the first transaction.
        before: Table,
        /// The transactions, at least one.
        transactions: Vec<Arc<Transaction>>,
    },
    /// An advance to a snapshot in one step.
    Snapshot {
        /// Table before the advance; [`Table::changes_to`] returns the difference.
        before: Table,
        /// Position of the snapshot.
        position: Position,
        /// Time at which the publisher accepted the snapshot's last transaction, Unix ms.
        published_unix_ms: u64,
    },
}

/// Reason why a follower closes a connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// The connection was not established in time.
    #[error("not connected within {0} ms")]
    ConnectLimit(Millis),
    /// No message arrived for too long.
    #[error("nothing heard for {0} ms")]
    Silent(Millis),
    /// Messages of the server arrive, but the table makes no progress toward its head.
    #[error("no progress for {0} ms although messages of the server arrive")]
    Stalled(Millis),
    /// The server's head is before this client's position.
    #[error("the server is behind: its head is {head:?}, this client is at {position:?}")]
    ServerBehind {
        /// The server's head.
        head: Position,
        /// This client's position.
        position: Position,
    },
    /// The server has reached its limit of sessions or snapshots.
    #[error("the server is busy, next attempt in {0} ms")]
    Busy(Millis),
    /// The server sent inconsistent data; the table is unchanged.
    #[error("{0}")]
    Fault(#[from] SessionFault),
    /// Messages of the server arrive, but it is cut off from the publisher; another server may not be.
    #[error("the server's state is {0} ms old, trying another server")]
    Stale(Millis),
    /// The server on trial is no fresher than the one that was left for it.
    #[error("the server's state is {0} ms old, returning to the previous server")]
    NoFresher(Millis),
    /// A nearer server is tried again.
    #[error("trying a nearer server again")]
    TryingNearer,
}

/// Fault in the data that a server sent. It never changes the table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionFault {
    /// A transaction does not follow the table's position.
    #[error("transaction {found:?} does not follow {position:?}")]
    Gap {
        /// The table's position.
        position: Position,
        /// The transaction's position.
        found: Position,
    },
    /// The digest of the table after a transaction differs from the transaction's.
    #[error("digest mismatch after transaction {0:?}")]
    TransactionDigest(Position),
    /// The digest of the staged table differs from the snapshot's.
    #[error("digest mismatch of the snapshot at {0:?}")]
    SnapshotDigest(Position),
    /// A piece or an end of a snapshot arrived, but none was requested.
    #[error("snapshot data that was not requested")]
    UnexpectedSnapshot,
    /// A piece arrived out of order, or the end of the snapshot states another number of pieces than arrived.
    #[error("snapshot piece {found}, expected {wanted}")]
    PieceOrder {
        /// Expected number.
        wanted: u32,
        /// Actual number.
        found: u32,
    },
    /// A bucket is out of range, arrived twice, or contains a resource of another bucket.
    #[error("snapshot bucket {0} is out of range, repeated, or contains a resource of another bucket")]
    Bucket(u16),
    /// The table would hold more resources than the settings allow.
    #[error("more than {0} resources")]
    TooManyResources(usize),
}

/// Counters of a follower, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Number of sessions opened.
    pub sessions: u64,
    /// Number of transactions applied.
    pub transactions: u64,
    /// Number of snapshots requested.
    pub resyncs: u64,
    /// Number of snapshots applied.
    pub snapshots: u64,
    /// Number of transactions and snapshots whose digest did not match.
    pub digest_mismatches: u64,
    /// Number of times a server was left because it was behind.
    pub servers_behind: u64,
    /// Number of times a server was left because it was cut off from the publisher.
    pub servers_stale: u64,
    /// Number of `Busy` answers.
    pub busy: u64,
    /// Number of sessions closed because of faults in the server's data.
    pub faults: u64,
}
