//! Settings, events and actions of the fan-out.

use crate::delta_log::DeltaLogSettings;
use crate::message::{BUCKETS, MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, ToClient, ToServer};
use crate::resource::Millis;
use std::sync::Arc;

/// Identifier of one client connection, assigned by the owner of the sockets and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Settings and bounds of a fan-out.
#[derive(Clone, Debug)]
pub struct FanoutSettings {
    /// Minimum time between two flushes of deltas; transactions in between are sent together.
    pub flush_ms: Millis,
    /// Interval of heartbeats.
    pub heartbeat_ms: Millis,
    /// Maximum time to wait for a session's `Watch` or `FetchDifferences`.
    pub silence_ms: Millis,
    /// A client that has sent nothing while it was sent heartbeats for this time is disconnected. The time is
    /// counted in heartbeats, so that a server that was itself stalled does not mistake its clients for
    /// silent.
    pub client_silence_ms: Millis,
    /// Maximum time that a snapshot waits for the confirmation of a piece.
    pub stall_ms: Millis,
    /// Maximum number of sessions.
    pub max_sessions: usize,
    /// Maximum number of snapshots in progress or announced by a `Resync`.
    pub max_snapshots: usize,
    /// Maximum number of unsent bytes of a session; a session with more is closed, and resyncs when it
    /// reconnects.
    pub max_backlog_bytes: usize,
    /// Maximum size of the transactions in one message, in bytes, unless a single one is larger. A session
    /// that catches up with the log receives one message every `flush_ms`, and none while it has more than
    /// this unsent.
    pub max_message_bytes: usize,
    /// Maximum number of zones whose progress is tracked.
    pub max_zones: usize,
    /// Maximum number of refusals queued until [`super::Fanout::take_refusals`]; later ones are only counted.
    pub max_refusals: usize,
    /// A client that is rejected with `Busy` may retry after a random delay between this time and twice this
    /// time.
    pub busy_retry_ms: Millis,
    /// Bounds of the delta log.
    pub log: DeltaLogSettings,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for FanoutSettings {
    fn default() -> FanoutSettings {
        FanoutSettings {
            flush_ms: 20,
            heartbeat_ms: 1_000,
            silence_ms: 5_000,
            client_silence_ms: 15_000,
            stall_ms: 10_000,
            max_sessions: 2_048,
            max_snapshots: 64,
            max_backlog_bytes: 2 * 1024 * 1024,
            max_message_bytes: 128 * 1024,
            max_zones: MAX_REPORTED_ZONES,
            max_refusals: 1_024,
            busy_retry_ms: 250,
            log: DeltaLogSettings::default(),
            seed: 0,
        }
    }
}

/// Input events of a fan-out.
#[derive(Clone, Debug)]
pub enum FanoutEvent {
    /// A client connected.
    Opened(SessionId),
    /// A client sent a message.
    Received(SessionId, ToServer),
    /// A connection was closed by the client or by a fault. Not required after [`FanoutAction::Close`].
    Closed(SessionId),
    /// The number of unsent bytes of a session; to be reported whenever it has changed much, and when it
    /// returns to 0.
    Backlog {
        /// The session.
        session: SessionId,
        /// Number of unsent bytes.
        bytes: usize,
    },
    /// Time has passed; required at [`super::Fanout::deadline`].
    Tick,
}

/// Actions requested by a fan-out, to be executed in order.
#[derive(Clone, Debug)]
pub enum FanoutAction {
    /// Send a message. All sessions that receive the same message share one `Arc`, so that it is encoded
    /// once.
    Send {
        /// Session of the recipient.
        session: SessionId,
        /// The message.
        message: Arc<ToClient>,
    },
    /// Close a connection once all earlier messages are sent, or the client stops reading. The fan-out has
    /// already removed the session.
    Close {
        /// Session to close.
        session: SessionId,
        /// Reason for closing.
        reason: CloseReason,
    },
}

/// Reason why the server closed a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum CloseReason {
    /// The limit of sessions is reached.
    #[error("the limit of sessions is reached")]
    Full,
    /// The limit of snapshots in progress is reached.
    #[error("the limit of snapshots is reached")]
    NoSnapshotPlace,
    /// The client reads more slowly than the server sends.
    #[error("{bytes} bytes unsent: the client is too slow, it has to resync")]
    Slow {
        /// Number of unsent bytes.
        bytes: usize,
    },
    /// The client did not send its `Watch` in time.
    #[error("no Watch received in time")]
    NoWatch,
    /// The client did not send `FetchDifferences` in time after a `Resync`.
    #[error("no FetchDifferences received in time after a Resync")]
    NoFetch,
    /// The client has sent nothing for too long, not even a keep-alive.
    #[error("nothing received from the client during {heartbeats} heartbeats")]
    Silent {
        /// Number of heartbeats sent to it since its last message.
        heartbeats: u32,
    },
    /// The client did not confirm a piece of its snapshot in time.
    #[error("a piece of the snapshot was not confirmed in time")]
    Stalled,
    /// The same member watches in a newer session.
    #[error("the member watches in a newer session")]
    Replaced,
    /// The client belongs to, or reports, a zone beyond the maximum number of tracked zones.
    #[error("the limit of tracked zones is reached")]
    TooManyZones,
    /// The client violated the protocol.
    #[error("protocol violation: {0}")]
    Protocol(#[from] ProtocolFault),
}

/// Protocol violation by a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ProtocolFault {
    /// Another message arrived before `Watch`.
    #[error("message before Watch")]
    NotWatched,
    /// A second `Watch` arrived in the session.
    #[error("second Watch in a session")]
    SecondWatch,
    /// `FetchDifferences` arrived during a snapshot, or from a client that is ahead of this server.
    #[error("unexpected FetchDifferences")]
    UnexpectedFetch,
    /// The number of bucket digests is neither 0 nor [`BUCKETS`].
    #[error("{0} bucket digests, expected 0 or {BUCKETS}")]
    BucketDigests(usize),
    /// The client confirmed a piece that was not sent, or out of order.
    #[error("piece {0} confirmed out of order")]
    UnexpectedPiece(u32),
    /// A report contains too many zones.
    #[error("{0} zones in a report, at most {MAX_REPORTED_ZONES} allowed")]
    ReportedZones(usize),
    /// A report contains too many refusals.
    #[error("{0} refusals in a report, at most {MAX_REPORTED_REFUSALS} allowed")]
    ReportedRefusals(usize),
    /// A report contains a zone twice.
    #[error("duplicate zone in a report")]
    RepeatedZone,
    /// A report counts more refusing subscribers than subscribers.
    #[error("{refusing} refusing subscribers of {subscribers} in a report")]
    Refusing {
        /// Number of refusing subscribers.
        refusing: u32,
        /// Number of all subscribers.
        subscribers: u32,
    },
    /// A subscriber's report does not cover exactly itself: one entry, its own zone, one subscriber, its own
    /// refusals.
    #[error("a subscriber's report covers other members than itself")]
    NotItsOwn,
}
