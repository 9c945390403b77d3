//! State machine of a client connection: when its client is notified to send no new request, and when it is
//! closed.
//!
//! A connection is first served. Its client is notified because the connection was idle, the server drains,
//! or the connection makes room for others. Then the connection finishes: pending responses are written, the
//! sending side is shut down, and further bytes are read and discarded, because closing a socket with unread
//! bytes would reset the connection and lose responses. Between the notification and the finish, requests
//! that crossed the notification are served. The state machine has no socket and no clock.
//!
//! # Invariants
//! - While a response is pending, a connection finishes only at the end of the process or by an explicit
//!   [`ConnectionState::finish`].
//! - A finishing connection accepts no request.

use std::cmp::Ordering;
use std::fmt;

/// Time limit for the first complete request of a connection, and for a message from its first byte to its
/// last, ms. The platform allows three seconds in total; a well-behaved client sends within a round trip.
pub const MESSAGE_TIMEOUT_MS: f64 = 2000.0;
/// Time that a client has to close its connection after the shutdown notification, ms.
pub const CLOSE_GRACE_MS: f64 = 1000.0;
/// Time for which bytes are read and discarded after the sending side was shut down, ms. A client that reads
/// sees the end within a round trip.
pub const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Minimum time for which bytes are discarded when descriptors are scarce, ms. Within it the protocol has a
/// client resend a request that crosses a close.
pub const MIN_LINGER_MS: f64 = 50.0;
/// Maximum time for which unread bytes keep open a connection that would otherwise be closed, ms: from their
/// detection until a request is read. It covers the longest stall that is not excluded from a client's times,
/// and together with [`MESSAGE_TIMEOUT_MS`] stays within the three seconds that the platform allows.
pub const UNREAD_GRACE_MS: f64 = 800.0;
/// Age below which a connection without a request is not evicted, ms: its first request may be in transit.
const NEW_CONNECTION_GRACE_MS: f64 = 50.0;
/// Time for which an evicted connection is still served after its client was notified, ms. It is the
/// protocol's limit for a request that crosses the notification.
pub const EVICTION_GRACE_MS: f64 = 50.0;

/// Reason why a connection finishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The client sent no complete request in time.
    NoRequestInTime,
    /// A message was not completed in time.
    MessageNotCompleted,
    /// The client was notified and did not close the connection in time.
    CloseGraceOver,
    /// The client was notified and the connection evicted to make room for others.
    Evicted,
    /// The process is ending.
    ProcessEnds,
    /// The client closed the connection or broke the protocol.
    ClosedByTask,
}

impl fmt::Display for FinishReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FinishReason::NoRequestInTime => "no request in time",
            FinishReason::MessageNotCompleted => "a message not completed in time",
            FinishReason::CloseGraceOver => "close grace over",
            FinishReason::Evicted => "evicted",
            FinishReason::ProcessEnds => "the process ends",
            FinishReason::ClosedByTask => "closed by its client or on an error",
        })
    }
}

/// Action that the caller has to carry out on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Do nothing.
    Stay,
    /// Notify the client to send no new request.
    NotifyShutdown,
    /// Write the queued responses and close the connection.
    Finish,
}

/// Policy of the listener for all connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionPolicy {
    /// Idle time after which a client is notified, ms.
    pub idle_timeout_ms: f64,
    /// Whether the server drains, so that all clients are notified.
    pub notify_all: bool,
    /// Whether the process is ending, so that all connections finish even with responses pending.
    pub finish_all: bool,
}

/// Result of decoding all bytes received so far.
#[derive(Clone, Copy, Debug)]
pub struct ReadProgress {
    /// Whether at least one message was completed.
    pub completed_message: bool,
    /// Whether the bytes end within a message.
    pub ends_in_partial_message: bool,
}

/// Rank of a connection for eviction. The lowest rank is evicted first: a connection that never sent a
/// request, otherwise the one idle longest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionRank {
    /// Whether a request was ever read on the connection.
    pub sent_request: bool,
    /// Time at which bytes were last read or written, ms.
    pub last_activity: f64,
}

impl EvictionRank {
    /// Compares two ranks; the lower one is evicted first.
    pub fn total_cmp(&self, other: &EvictionRank) -> Ordering {
        self.sent_request.cmp(&other.sent_request).then(self.last_activity.total_cmp(&other.last_activity))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Serving,
    /// The client was notified at this time.
    Notified(f64),
    /// The client was notified at this time, and the connection is evicted to make room for others.
    Evicting(f64),
    /// No request has been accepted since this time, for this reason.
    Finishing(f64, FinishReason),
}

/// The state of one connection. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct ConnectionState {
    phase: Phase,
    accepted_at: f64,
    sent_request: bool,
    partial_message_since: Option<f64>,
    last_activity: f64,
    /// Time at which bytes were last read.
    last_read_at: f64,
    /// Whether the connection's reader waits for a turn of the event loop.
    awaits_turn: bool,
    /// Times since which unread bytes have prevented a close, reset by each request.
    held_open: HeldOpen,
}

/// Cause for closing a connection that has unread bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// A time limit has passed.
    TimeLimit,
    /// The connection is to make room for others.
    Eviction,
}

/// Times since which unread bytes have prevented a close, one for each cause. They are kept apart so that an
/// attempt at eviction long before a time limit doesn't shorten the grace time that the client has at the
/// limit.
#[derive(Clone, Copy, Debug, Default)]
struct HeldOpen {
    time_limit_since: Option<f64>,
    eviction_since: Option<f64>,
}

impl HeldOpen {
    fn since_mut(&mut self, cause: CloseCause) -> &mut Option<f64> {
        match cause {
            CloseCause::TimeLimit => &mut self.time_limit_since,
            CloseCause::Eviction => &mut self.eviction_since,
        }
    }

    fn exclude_stall(&mut self, stalled_ms: f64) {
        for since in [&mut self.time_limit_since, &mut self.eviction_since] {
            *since = since.map(|since| since + stalled_ms);
        }
    }
}

impl ConnectionState {
    /// Returns the state of a connection accepted at `now`.
    pub fn new(now: f64) -> ConnectionState {
        ConnectionState {
            phase: Phase::Serving,
            accepted_at: now,
            sent_request: false,
            partial_message_since: None,
            last_activity: now,
            last_read_at: now,
            awaits_turn: false,
            held_open: HeldOpen::default(),
        }
    }

    /// Shifts all times by `stalled_ms`, for which the event loop stalled. Bytes that arrived meanwhile are
    /// still unread, so the client must not be taken for silent.
    pub fn exclude_stall(&mut self, stalled_ms: f64) {
        self.accepted_at += stalled_ms;
        self.last_activity += stalled_ms;
        self.last_read_at += stalled_ms;
        self.partial_message_since = self.partial_message_since.map(|since| since + stalled_ms);
        self.held_open.exclude_stall(stalled_ms);
        match &mut self.phase {
            Phase::Serving => {}
            Phase::Notified(at) | Phase::Evicting(at) | Phase::Finishing(at, _) => *at += stalled_ms,
        }
    }

    /// Records that bytes were read or written.
    pub fn record_activity(&mut self, now: f64) {
        self.last_activity = now;
    }

    /// Records that bytes were read.
    pub fn record_bytes_read(&mut self, now: f64) {
        self.last_read_at = now;
        self.record_activity(now);
    }

    /// Records whether the connection's reader waits for a turn of the event loop.
    pub fn set_awaits_turn(&mut self, awaits_turn: bool) {
        self.awaits_turn = awaits_turn;
    }

    /// Returns whether the connection's reader waits for a turn of the event loop.
    pub fn awaits_turn(&self) -> bool {
        self.awaits_turn
    }

    /// Records that the connection has unread bytes when it is about to be closed, and returns whether it
    /// stays open for them. It does so for at most [`UNREAD_GRACE_MS`], so that a client can't keep it open
    /// by sending bytes that contain no request. While its reader waits for a turn, it stays open in any case
    /// until it has been read once.
    pub fn hold_open_for_unread_bytes(&mut self, now: f64, cause: CloseCause) -> bool {
        let since = *self.held_open.since_mut(cause).get_or_insert(now);
        let awaits_first_read = self.awaits_turn && self.last_read_at <= since;
        let is_held_open = awaits_first_read || now - since < UNREAD_GRACE_MS;
        if is_held_open {
            self.last_activity = self.last_activity.max(now);
        }
        is_held_open
    }

    /// Records that a request was read.
    pub fn record_request(&mut self) {
        self.sent_request = true;
        self.held_open = HeldOpen::default();
    }

    /// Records that all bytes received so far were decoded.
    pub fn record_read(&mut self, progress: ReadProgress) {
        let previous = self.partial_message_since.filter(|_| !progress.completed_message);
        let since = previous.unwrap_or(self.last_activity);
        self.partial_message_since = progress.ends_in_partial_message.then_some(since);
    }

    /// Returns whether requests are accepted.
    pub fn accepts_requests(&self) -> bool {
        !matches!(self.phase, Phase::Finishing(..))
    }

    /// Returns whether the connection is being evicted or is finishing, so that its descriptor becomes free
    /// soon.
    pub fn is_leaving(&self) -> bool {
        matches!(self.phase, Phase::Evicting(_) | Phase::Finishing(..))
    }

    /// Returns whether a connection whose responses are all written may be dropped when descriptors are
    /// scarce: its client must have known of the end for [`MIN_LINGER_MS`]. The client of an evicted
    /// connection was notified before the connection finished.
    pub fn may_stop_lingering(&self, now: f64) -> bool {
        let Phase::Finishing(finished_at, reason) = self.phase else { return false };
        let client_informed_at = match reason {
            FinishReason::Evicted => self.last_activity.max(finished_at - EVICTION_GRACE_MS),
            _ => finished_at,
        };
        now - client_informed_at >= MIN_LINGER_MS
    }

    /// Returns since when and why the connection has accepted no request; `None` while it accepts requests.
    pub fn finishing_since(&self) -> Option<(f64, FinishReason)> {
        match self.phase {
            Phase::Finishing(at, reason) => Some((at, reason)),
            _ => None,
        }
    }

    /// Stops accepting requests from `now` on.
    pub fn finish(&mut self, now: f64, reason: FinishReason) {
        if self.accepts_requests() {
            self.phase = Phase::Finishing(now, reason);
        }
    }

    /// Evicts the connection and returns the action to carry out. The connection is served for
    /// [`EVICTION_GRACE_MS`] after its client was notified, and while a response is pending.
    pub fn evict(&mut self, now: f64) -> Transition {
        match self.phase {
            Phase::Serving => {
                self.phase = Phase::Evicting(now);
                Transition::NotifyShutdown
            }
            Phase::Notified(at) => {
                self.phase = Phase::Evicting(at);
                Transition::Stay
            }
            Phase::Evicting(_) | Phase::Finishing(..) => Transition::Stay,
        }
    }

    /// Returns whether [`ConnectionState::advance`] would finish the connection.
    pub fn would_finish(&self, now: f64, response_owed: bool, policy: ConnectionPolicy) -> bool {
        self.accepts_requests() && self.finish_reason(now, response_owed, policy).is_some()
    }

    /// Advances to `now` and returns the action to carry out; `response_owed` states whether a response is
    /// pending.
    pub fn advance(&mut self, now: f64, response_owed: bool, policy: ConnectionPolicy) -> Transition {
        if !self.accepts_requests() {
            return Transition::Stay;
        }
        if let Some(reason) = self.finish_reason(now, response_owed, policy) {
            self.finish(now, reason);
            return Transition::Finish;
        }
        match &mut self.phase {
            Phase::Serving
                if policy.notify_all
                    || !response_owed && now - self.last_activity >= policy.idle_timeout_ms =>
            {
                self.phase = Phase::Notified(now);
                Transition::NotifyShutdown
            }
            Phase::Notified(at) | Phase::Evicting(at) if response_owed => {
                *at = now;
                Transition::Stay
            }
            _ => Transition::Stay,
        }
    }

    /// Returns why a connection that is not finishing has to finish; `None` if it doesn't have to.
    fn finish_reason(&self, now: f64, response_owed: bool, policy: ConnectionPolicy) -> Option<FinishReason> {
        if policy.finish_all {
            return Some(FinishReason::ProcessEnds);
        }
        if response_owed {
            return None;
        }
        // A silent connection and a partial message occupy a descriptor and a buffer that other clients need.
        if !self.sent_request && now - self.accepted_at >= MESSAGE_TIMEOUT_MS {
            return Some(FinishReason::NoRequestInTime);
        }
        if self.partial_message_since.is_some_and(|since| now - since >= MESSAGE_TIMEOUT_MS) {
            return Some(FinishReason::MessageNotCompleted);
        }
        match self.phase {
            Phase::Notified(at) if now - at.max(self.last_activity) >= CLOSE_GRACE_MS => {
                Some(FinishReason::CloseGraceOver)
            }
            Phase::Evicting(at) if now - at >= EVICTION_GRACE_MS => Some(FinishReason::Evicted),
            Phase::Notified(_) | Phase::Evicting(_) | Phase::Serving | Phase::Finishing(..) => None,
        }
    }

    /// Returns the rank for eviction, or `None` while the connection can't be evicted: it is leaving, a
    /// response is pending, or it is so new that its first request may be in transit.
    pub fn eviction_rank(&self, now: f64, response_owed: bool) -> Option<EvictionRank> {
        let is_new = !self.sent_request && now - self.accepted_at < NEW_CONNECTION_GRACE_MS;
        let evictable = !self.is_leaving() && !response_owed && !is_new;
        evictable
            .then_some(EvictionRank { sent_request: self.sent_request, last_activity: self.last_activity })
    }
}
