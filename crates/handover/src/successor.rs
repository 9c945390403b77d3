//! State machine of the new process: it requests the keys, loads them, and owns them once the predecessor has
//! committed.

use crate::fault::Fault;
use crate::message::{PROTOCOL_VERSION, RefuseReason, ServerIdentity};

/// Time limit for the predecessor to answer `Hello`.
pub const WELCOME_TIMEOUT_MS: u64 = 1_000;

/// Time limit for the whole snapshot, from `RequestTransfer` on.
pub const SNAPSHOT_TIMEOUT_MS: u64 = 2_000;

/// Time limit for the predecessor to commit after `Loaded`.
pub const COMMIT_TIMEOUT_MS: u64 = 2_000;

/// Number of times that the successor reconnects before it gives up.
pub const MAX_RECONNECTS: u32 = 5;

/// Delay before the successor reconnects for the first time. The delay doubles with each further
/// reconnection.
pub const FIRST_RECONNECT_MS: u64 = 50;

/// An event for the successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorEvent {
    /// The link is established.
    Connected,
    /// A control frame was received.
    Received(SuccessorInput),
    /// The successor is connected to its worker pool. May be reported at any time, and remains valid from
    /// then on.
    CanServe,
    /// The link has ended, or connecting has failed. Not reported after the action `Disconnect`.
    Disconnected,
    /// The timer has expired.
    TimedOut,
}

/// A control frame of [`crate::ToSuccessor`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorInput {
    /// The frame `Welcome`.
    Welcome {
        /// The predecessor's version of the protocol.
        version: u32,
    },
    /// The frame `Refuse`.
    Refuse {
        /// The reason for the refusal.
        reason: RefuseReason,
    },
    /// The frame `Keys`.
    Keys {
        /// Number of keys in the piece.
        count: u64,
    },
    /// The frame `SnapshotEnd`.
    SnapshotEnd {
        /// Number of keys in the whole snapshot.
        keys: u64,
    },
    /// The frame `Commit`.
    Commit,
}

/// An action for the caller. Actions have to be performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuccessorAction {
    /// Send `Hello`.
    SendHello,
    /// Send `RequestTransfer`.
    SendRequestTransfer,
    /// Send `Loaded`.
    SendLoaded {
        /// Number of loaded keys.
        keys: u64,
    },
    /// Load the records of the piece that was just received.
    LoadKeys,
    /// Discard all loaded keys.
    DiscardKeys,
    /// Take ownership of the keys: accept connections, decide on requests, and report health.
    BecomeOwner,
    /// Treat the outcome of all unreported runs as unknown, since the predecessor ended after the commit.
    PredecessorGone,
    /// Reconnect to the predecessor.
    Reconnect {
        /// Delay before connecting, ms.
        after_ms: u64,
    },
    /// Give up: there will be no handover.
    GiveUp(GiveUpReason),
    /// Close the link. Never returned after `BecomeOwner`.
    Disconnect,
    /// Start the timer, replacing a running one.
    StartTimer {
        /// Time until the timer expires, ms.
        ms: u64,
    },
    /// Stop the timer.
    StopTimer,
}

/// Reason why the successor gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum GiveUpReason {
    /// The predecessor has a different version of the protocol.
    #[error("the predecessor speaks another version of the protocol")]
    OtherVersion,
    /// The predecessor has a different server name, or different classes or tenants.
    #[error("the predecessor has a different identity (server name, classes or tenants)")]
    OtherIdentity,
    /// The first connection and all reconnections failed; contains the last failure.
    #[error("all connections to the predecessor failed; last failure: {0}")]
    RetriesExhausted(ConnectionFailure),
}

/// Reason why a connection to the predecessor failed to complete the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ConnectionFailure {
    /// The link could not be established, or it ended.
    #[error("could not connect to the predecessor, or the connection ended")]
    NoLink,
    /// The predecessor did not answer within the time limit.
    #[error("the predecessor did not answer within the time limit")]
    TimedOut,
    /// The predecessor has a link to another successor.
    #[error("the predecessor is busy with another successor")]
    Busy,
    /// The predecessor is shutting down.
    #[error("the predecessor is shutting down")]
    ShuttingDown,
    /// The number of keys in the snapshot differs from the announced number.
    #[error("loaded {loaded} keys, but the predecessor announced {announced}")]
    WrongKeyCount {
        /// Number of loaded keys.
        loaded: u64,
        /// Number of announced keys.
        announced: u64,
    },
    /// The predecessor sent a frame that is not allowed in this phase.
    #[error("received a frame that is not allowed in this phase of the handover")]
    UnexpectedFrame,
}

/// Phase of the handover at the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorPhase {
    /// The successor has no link.
    Connecting,
    /// The successor has sent `Hello`.
    AwaitingWelcome,
    /// The successor has been welcomed, and waits until it can serve.
    Welcomed,
    /// The successor is loading the snapshot.
    Loading,
    /// The successor has confirmed the snapshot.
    AwaitingCommit,
    /// The successor owns the keys, and the predecessor forwards requests to it.
    Owner,
    /// The successor owns the keys, and the predecessor has ended.
    PredecessorEnded,
    /// The successor has given up: there will be no handover.
    GivenUp,
}

/// State of the link after a failure.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Closed,
    Open,
}

/// State machine of the new process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    identity: ServerIdentity,
    phase: SuccessorPhase,
    can_serve: bool,
    /// Whether a piece of a snapshot has been loaded and not discarded.
    has_loaded_pieces: bool,
    loaded_keys: u64,
    reconnects: u32,
    fault: Fault,
}

impl Successor {
    /// Returns the state machine of a new process with this identity that is about to connect.
    pub fn new(identity: ServerIdentity) -> Self {
        Self::with_fault(identity, Fault::None)
    }

    /// Returns the state machine with an injected fault, which has an effect only with the `test-faults`
    /// feature.
    pub fn with_fault(identity: ServerIdentity, fault: Fault) -> Self {
        Successor {
            identity,
            phase: SuccessorPhase::Connecting,
            can_serve: false,
            has_loaded_pieces: false,
            loaded_keys: 0,
            reconnects: 0,
            fault,
        }
    }

    /// Returns the identity of the server, for `Hello`.
    pub fn identity(&self) -> &ServerIdentity {
        &self.identity
    }

    /// Returns the phase of the handover.
    pub fn phase(&self) -> SuccessorPhase {
        self.phase
    }

    /// Processes an event and returns the actions to perform.
    pub fn on_event(&mut self, event: SuccessorEvent) -> Vec<SuccessorAction> {
        match event {
            SuccessorEvent::Connected => self.on_connected(),
            SuccessorEvent::Received(input) => self.on_received(input),
            SuccessorEvent::CanServe => self.on_can_serve(),
            SuccessorEvent::Disconnected => self.on_disconnected(),
            SuccessorEvent::TimedOut => self.on_timed_out(),
        }
    }

    fn on_connected(&mut self) -> Vec<SuccessorAction> {
        match self.phase {
            SuccessorPhase::Connecting => {
                self.phase = SuccessorPhase::AwaitingWelcome;
                vec![SuccessorAction::SendHello, SuccessorAction::StartTimer { ms: WELCOME_TIMEOUT_MS }]
            }
            SuccessorPhase::GivenUp => vec![SuccessorAction::Disconnect],
            _ => Vec::new(),
        }
    }

    fn on_received(&mut self, input: SuccessorInput) -> Vec<SuccessorAction> {
        match (self.phase, input) {
            (SuccessorPhase::AwaitingWelcome, SuccessorInput::Welcome { version }) => {
                self.on_welcome(version)
            }
            (SuccessorPhase::AwaitingWelcome, SuccessorInput::Refuse { reason }) => self.on_refusal(reason),
            (SuccessorPhase::Loading, SuccessorInput::Keys { count }) => self.load(count),
            (SuccessorPhase::Loading, SuccessorInput::SnapshotEnd { keys }) => self.on_snapshot_end(keys),
            (SuccessorPhase::Loading, SuccessorInput::Commit)
                if self.fault.is(Fault::CommitBeforeSnapshotEnd) =>
            {
                self.become_owner()
            }
            (SuccessorPhase::AwaitingCommit, SuccessorInput::Commit) => self.become_owner(),
            // After the commit the link stays open, because the predecessor would take its end for the end of
            // this process.
            (SuccessorPhase::Owner | SuccessorPhase::PredecessorEnded, _) => Vec::new(),
            (SuccessorPhase::Connecting | SuccessorPhase::GivenUp, _) => vec![SuccessorAction::Disconnect],
            _ => self.fail(ConnectionFailure::UnexpectedFrame, LinkState::Open),
        }
    }

    fn on_welcome(&mut self, version: u32) -> Vec<SuccessorAction> {
        if version != PROTOCOL_VERSION {
            return self.give_up_on_refusal(GiveUpReason::OtherVersion);
        }
        self.phase = SuccessorPhase::Welcomed;
        if self.can_serve { self.request_transfer() } else { vec![SuccessorAction::StopTimer] }
    }

    fn on_refusal(&mut self, reason: RefuseReason) -> Vec<SuccessorAction> {
        match reason {
            RefuseReason::OtherVersion => self.give_up_on_refusal(GiveUpReason::OtherVersion),
            RefuseReason::OtherIdentity => self.give_up_on_refusal(GiveUpReason::OtherIdentity),
            RefuseReason::Busy => self.fail(ConnectionFailure::Busy, LinkState::Open),
            RefuseReason::ShuttingDown => self.fail(ConnectionFailure::ShuttingDown, LinkState::Open),
        }
    }

    fn on_can_serve(&mut self) -> Vec<SuccessorAction> {
        self.can_serve = true;
        if self.phase == SuccessorPhase::Welcomed { self.request_transfer() } else { Vec::new() }
    }

    fn request_transfer(&mut self) -> Vec<SuccessorAction> {
        self.phase = SuccessorPhase::Loading;
        self.loaded_keys = 0;
        vec![SuccessorAction::SendRequestTransfer, SuccessorAction::StartTimer { ms: SNAPSHOT_TIMEOUT_MS }]
    }

    fn load(&mut self, count: u64) -> Vec<SuccessorAction> {
        self.has_loaded_pieces = true;
        self.loaded_keys = self.loaded_keys.saturating_add(count);
        vec![SuccessorAction::LoadKeys]
    }

    fn on_snapshot_end(&mut self, announced: u64) -> Vec<SuccessorAction> {
        let loaded = self.loaded_keys;
        if loaded != announced {
            return self.fail(ConnectionFailure::WrongKeyCount { loaded, announced }, LinkState::Open);
        }
        self.phase = SuccessorPhase::AwaitingCommit;
        let mut actions = vec![SuccessorAction::SendLoaded { keys: loaded }];
        if self.fault.is(Fault::OwnerBeforeCommit) {
            actions.extend(self.become_owner());
        } else {
            actions.push(SuccessorAction::StartTimer { ms: COMMIT_TIMEOUT_MS });
        }
        actions
    }

    fn become_owner(&mut self) -> Vec<SuccessorAction> {
        self.phase = SuccessorPhase::Owner;
        vec![SuccessorAction::StopTimer, SuccessorAction::BecomeOwner]
    }

    fn on_disconnected(&mut self) -> Vec<SuccessorAction> {
        match self.phase {
            SuccessorPhase::Owner => {
                self.phase = SuccessorPhase::PredecessorEnded;
                vec![SuccessorAction::PredecessorGone]
            }
            SuccessorPhase::PredecessorEnded | SuccessorPhase::GivenUp => Vec::new(),
            _ => self.fail(ConnectionFailure::NoLink, LinkState::Closed),
        }
    }

    fn on_timed_out(&mut self) -> Vec<SuccessorAction> {
        match self.phase {
            SuccessorPhase::AwaitingWelcome | SuccessorPhase::Loading | SuccessorPhase::AwaitingCommit => {
                self.fail(ConnectionFailure::TimedOut, LinkState::Open)
            }
            _ => Vec::new(),
        }
    }

    fn fail(&mut self, failure: ConnectionFailure, link: LinkState) -> Vec<SuccessorAction> {
        let mut actions = self.abandon_link(link);
        if self.reconnects == MAX_RECONNECTS {
            self.phase = SuccessorPhase::GivenUp;
            actions.push(SuccessorAction::GiveUp(GiveUpReason::RetriesExhausted(failure)));
            return actions;
        }
        let after_ms = FIRST_RECONNECT_MS << self.reconnects;
        self.reconnects += 1;
        self.phase = SuccessorPhase::Connecting;
        actions.push(SuccessorAction::Reconnect { after_ms });
        actions
    }

    fn give_up_on_refusal(&mut self, reason: GiveUpReason) -> Vec<SuccessorAction> {
        let mut actions = self.abandon_link(LinkState::Open);
        self.phase = SuccessorPhase::GivenUp;
        actions.push(SuccessorAction::GiveUp(reason));
        actions
    }

    /// Discards the loaded keys, and closes the link if it is still open.
    fn abandon_link(&mut self, link: LinkState) -> Vec<SuccessorAction> {
        let mut actions = Vec::new();
        if std::mem::take(&mut self.has_loaded_pieces) {
            actions.push(SuccessorAction::DiscardKeys);
        }
        if link == LinkState::Open {
            actions.push(SuccessorAction::Disconnect);
        }
        if self.phase != SuccessorPhase::Connecting {
            actions.push(SuccessorAction::StopTimer);
        }
        actions
    }
}
