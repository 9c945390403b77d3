//! What goes into the fan-out and what comes out of it.

use crate::delta_log::DeltaLogSettings;
use crate::message::{BUCKETS, MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, ToClient, ToServer};
use crate::resource::Millis;
use std::sync::Arc;

/// One connection of a client, numbered by whoever owns the sockets; a number is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// How a fan-out is set up, and what bounds it.
#[derive(Clone, Debug)]
pub struct FanoutSettings {
    /// The least time between two sendings of deltas; those between wait and go together.
    pub flush_ms: Millis,
    /// The pace of heartbeats.
    pub heartbeat_ms: Millis,
    /// How long a session may be silent while its `Watch` or `FetchDifferences` is awaited.
    pub silence_ms: Millis,
    /// A client that was sent heartbeats for so long, and from which nothing came, is closed. Counted in heartbeats, so
    /// that a server that was itself held up does not take its clients for silent.
    pub client_silence_ms: Millis,
    /// How long a snapshot may wait for a piece to be confirmed.
    pub stall_ms: Millis,
    /// The most sessions.
    pub max_sessions: usize,
    /// The most snapshots under way or announced by a `Resync`.
    pub max_snapshots: usize,
    /// The most unsent bytes of a session; past them it is closed, and resyncs when it comes again.
    pub max_backlog_bytes: usize,
    /// The most bytes of transactions in one message, unless a single one is larger. A session that catches up with the
    /// log gets one message each `flush_ms`, and none while it has more than this unsent.
    pub max_message_bytes: usize,
    /// The most zones that progress is kept of.
    pub max_zones: usize,
    /// The most refusals kept until [`super::Fanout::take_refusals`]; later ones are only counted.
    pub max_refusals: usize,
    /// A client that found no place is told to come again after once to twice this time.
    pub busy_retry_ms: Millis,
    /// The bounds of the log of deltas.
    pub log: DeltaLogSettings,
    /// The seed of the jitter.
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

/// What happens to a fan-out.
#[derive(Clone, Debug)]
pub enum FanoutEvent {
    /// A client connected.
    Opened(SessionId),
    /// A client sent a message.
    Received(SessionId, ToServer),
    /// A connection ended by itself. Not needed after [`FanoutAction::Close`].
    Closed(SessionId),
    /// How many bytes of a session are not sent yet; wanted whenever it has changed much, and when it is 0 again.
    Backlog {
        /// The session.
        session: SessionId,
        /// The bytes.
        bytes: usize,
    },
    /// Time went on; wanted at [`super::Fanout::deadline`].
    Tick,
}

/// What a fan-out wants done, in this order.
#[derive(Clone, Debug)]
pub enum FanoutAction {
    /// Send a message. The same `Arc` goes to all sessions that get the same, so that it is encoded once.
    Send {
        /// To whom.
        session: SessionId,
        /// The message.
        message: Arc<ToClient>,
    },
    /// Close a connection once what was sent before has left, or the client stopped reading. The session is forgotten.
    Close {
        /// Which.
        session: SessionId,
        /// Why.
        reason: CloseReason,
    },
}

/// Why a session was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum CloseReason {
    /// There are as many sessions as may be.
    #[error("no place for another session")]
    Full,
    /// There are as many snapshots under way as may be.
    #[error("no place for another snapshot")]
    NoSnapshotPlace,
    /// It reads slower than it is sent to.
    #[error("{bytes} bytes unsent: too slow, it has to resync")]
    Slow {
        /// Its backlog.
        bytes: usize,
    },
    /// No `Watch` in time.
    #[error("no Watch in time")]
    NoWatch,
    /// No `FetchDifferences` in time.
    #[error("no FetchDifferences in time after a Resync")]
    NoFetch,
    /// Nothing came from it for too long, not even a sign of life.
    #[error("nothing heard from the client during {heartbeats} heartbeats")]
    Silent {
        /// Those that it was sent meanwhile.
        heartbeats: u32,
    },
    /// It did not confirm a piece of its snapshot in time.
    #[error("a snapshot's piece was not confirmed in time")]
    Stalled,
    /// The same member watches in a newer session.
    #[error("the member watches in a newer session")]
    Replaced,
    /// It belongs to, or reports, a zone past those that progress is kept of.
    #[error("more zones than progress is kept of")]
    TooManyZones,
    /// It broke the protocol.
    #[error("out of protocol: {0}")]
    Protocol(#[from] ProtocolFault),
}

/// How a client broke the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ProtocolFault {
    /// Another message came before `Watch`.
    #[error("a message before Watch")]
    NotWatched,
    /// `Watch` came twice.
    #[error("a second Watch")]
    SecondWatch,
    /// `FetchDifferences` during a snapshot, or from a client that is ahead of this server.
    #[error("FetchDifferences that was not asked for")]
    UnexpectedFetch,
    /// A number of bucket digests that is neither 0 nor [`BUCKETS`].
    #[error("{0} bucket digests, wanted none or {BUCKETS}")]
    BucketDigests(usize),
    /// A piece was confirmed that was not sent, or out of order.
    #[error("piece {0} confirmed out of order")]
    UnexpectedPiece(u32),
    /// Too many zones in one report.
    #[error("{0} zones in a report, wanted {MAX_REPORTED_ZONES} at most")]
    ReportedZones(usize),
    /// Too many refusals in one report.
    #[error("{0} refusals in a report, wanted {MAX_REPORTED_REFUSALS} at most")]
    ReportedRefusals(usize),
    /// A zone stands twice in one report.
    #[error("a zone stands twice in a report")]
    RepeatedZone,
    /// More subscribers refuse than there are.
    #[error("{refusing} of {subscribers} subscribers refuse")]
    Refusing {
        /// Those that refuse.
        refusing: u32,
        /// All.
        subscribers: u32,
    },
    /// A subscriber's report that is not of itself alone: one entry, its own zone, one subscriber, its own refusals.
    #[error("a subscriber's report is not of itself")]
    NotItsOwn,
}
