//! The side of the new process: it asks for the keys, loads them, and owns them once the predecessor has committed.

use crate::fault::Fault;
use crate::message::{PROTOCOL_VERSION, RefuseReason, ServerIdentity};

/// How long the predecessor may take to answer `Hello`.
pub const WELCOME_TIMEOUT_MS: u64 = 1_000;

/// How long the whole snapshot may take from `RequestTransfer`.
pub const SNAPSHOT_TIMEOUT_MS: u64 = 2_000;

/// How long the predecessor may take to commit.
pub const COMMIT_TIMEOUT_MS: u64 = 2_000;

/// How many times the successor connects anew before it gives up.
pub const MAX_RECONNECTS: u32 = 5;

/// How long the successor waits before it connects anew for the first time; then twice as long each time.
pub const FIRST_RECONNECT_MS: u64 = 50;

/// What happens to the successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorEvent {
    /// The link is there.
    Connected,
    /// A control frame came.
    Received(SuccessorInput),
    /// The successor's own link to the worker pool is up. It may be told at any time, and holds from then on.
    CanServe,
    /// The link has ended, or connecting has failed. Not told after the action `Disconnect`.
    Disconnected,
    /// The timer has run out.
    TimedOut,
}

/// The control frames among [`crate::ToSuccessor`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorInput {
    /// `Welcome`.
    Welcome {
        /// The predecessor's version of the protocol.
        version: u32,
    },
    /// `Refuse`.
    Refuse {
        /// Why.
        reason: RefuseReason,
    },
    /// `Keys`.
    Keys {
        /// How many the piece has.
        count: u64,
    },
    /// `SnapshotEnd`.
    SnapshotEnd {
        /// How many the snapshot has.
        keys: u64,
    },
    /// `Commit`.
    Commit,
}

/// What the caller has to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuccessorAction {
    /// Send `Hello`.
    SendHello,
    /// Send `RequestTransfer`.
    SendRequestTransfer,
    /// Send `Loaded`.
    SendLoaded {
        /// How many keys were loaded.
        keys: u64,
    },
    /// Load the records of the piece that just came.
    LoadKeys,
    /// Drop all that was loaded.
    DiscardKeys,
    /// Own the keys: accept connections, decide, report health.
    BecomeOwner,
    /// The predecessor ended after the commit: the runs that it had not reported have an unknown end.
    PredecessorGone,
    /// Connect anew.
    Reconnect {
        /// When, ms from now.
        after_ms: u64,
    },
    /// There will be no handover.
    GiveUp(GiveUpReason),
    /// Close the link. Never after `BecomeOwner`.
    Disconnect,
    /// Start the timer, in place of the one that runs.
    StartTimer {
        /// When it runs out, ms from now.
        ms: u64,
    },
    /// Stop the timer.
    StopTimer,
}

/// Why there will be no handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum GiveUpReason {
    /// The predecessor speaks another version of the protocol.
    #[error("the predecessor speaks another version of the protocol")]
    OtherVersion,
    /// The predecessor is another server, or has other classes or tenants.
    #[error("the predecessor has another identity")]
    OtherIdentity,
    /// All tries failed.
    #[error("all tries failed, the last one: {0}")]
    RetriesExhausted(FailedTry),
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum FailedTry {
    /// There was no link, or it ended.
    #[error("no link to the predecessor")]
    NoLink,
    /// The predecessor took too long.
    #[error("the predecessor did not answer in time")]
    TimedOut,
    /// The predecessor is busy with another successor.
    #[error("the predecessor is busy with another successor")]
    Busy,
    /// The predecessor is ending.
    #[error("the predecessor is shutting down")]
    ShuttingDown,
    /// The snapshot had another number of keys than it said.
    #[error("{loaded} keys loaded, {announced} announced")]
    WrongKeyCount {
        /// How many were loaded.
        loaded: u64,
        /// How many were announced.
        announced: u64,
    },
    /// A frame came that has no place there.
    #[error("a frame out of place")]
    UnexpectedFrame,
}

/// What the successor is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorPhase {
    /// It has no link.
    Connecting,
    /// It has sent `Hello`.
    AwaitingWelcome,
    /// It is welcome, and waits until it can serve.
    Welcomed,
    /// It loads the snapshot.
    Loading,
    /// It has confirmed the snapshot.
    AwaitingCommit,
    /// It owns the keys, and the predecessor forwards to it.
    Owner,
    /// It owns the keys, and the predecessor has ended.
    PredecessorEnded,
    /// There will be no handover.
    GivenUp,
}

/// Whether a try that failed leaves a link.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkLeft {
    None,
    Open,
}

/// The state machine of the new process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    identity: ServerIdentity,
    phase: SuccessorPhase,
    can_serve: bool,
    /// Whether a piece was loaded and not discarded.
    holds_pieces: bool,
    loaded_keys: u64,
    reconnects: u32,
    fault: Fault,
}

impl Successor {
    /// Returns the machine of a new process of this server, which is about to connect.
    pub fn new(identity: ServerIdentity) -> Self {
        Self::with_fault(identity, Fault::None)
    }

    /// Returns the machine with a guard left out, which has an effect with the feature `test-faults` alone.
    pub fn with_fault(identity: ServerIdentity, fault: Fault) -> Self {
        Successor {
            identity,
            phase: SuccessorPhase::Connecting,
            can_serve: false,
            holds_pieces: false,
            loaded_keys: 0,
            reconnects: 0,
            fault,
        }
    }

    /// Returns which server it is, for `Hello`.
    pub fn identity(&self) -> &ServerIdentity {
        &self.identity
    }

    /// Returns what it is doing.
    pub fn phase(&self) -> SuccessorPhase {
        self.phase
    }

    /// Takes an event and returns what is to be done.
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
            // After the commit the link stays: the predecessor would take its end for this process's.
            (SuccessorPhase::Owner | SuccessorPhase::PredecessorEnded, _) => Vec::new(),
            (SuccessorPhase::Connecting | SuccessorPhase::GivenUp, _) => vec![SuccessorAction::Disconnect],
            _ => self.fail(FailedTry::UnexpectedFrame, LinkLeft::Open),
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
            RefuseReason::Busy => self.fail(FailedTry::Busy, LinkLeft::Open),
            RefuseReason::ShuttingDown => self.fail(FailedTry::ShuttingDown, LinkLeft::Open),
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
        self.holds_pieces = true;
        self.loaded_keys = self.loaded_keys.saturating_add(count);
        vec![SuccessorAction::LoadKeys]
    }

    fn on_snapshot_end(&mut self, announced: u64) -> Vec<SuccessorAction> {
        let loaded = self.loaded_keys;
        if loaded != announced {
            return self.fail(FailedTry::WrongKeyCount { loaded, announced }, LinkLeft::Open);
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
            _ => self.fail(FailedTry::NoLink, LinkLeft::None),
        }
    }

    fn on_timed_out(&mut self) -> Vec<SuccessorAction> {
        match self.phase {
            SuccessorPhase::AwaitingWelcome | SuccessorPhase::Loading | SuccessorPhase::AwaitingCommit => {
                self.fail(FailedTry::TimedOut, LinkLeft::Open)
            }
            _ => Vec::new(),
        }
    }

    fn fail(&mut self, failure: FailedTry, link: LinkLeft) -> Vec<SuccessorAction> {
        let mut actions = self.leave_link(link);
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
        let mut actions = self.leave_link(LinkLeft::Open);
        self.phase = SuccessorPhase::GivenUp;
        actions.push(SuccessorAction::GiveUp(reason));
        actions
    }

    /// Drops what was loaded, and closes the link if it is still there.
    fn leave_link(&mut self, link: LinkLeft) -> Vec<SuccessorAction> {
        let mut actions = Vec::new();
        if std::mem::take(&mut self.holds_pieces) {
            actions.push(SuccessorAction::DiscardKeys);
        }
        if link == LinkLeft::Open {
            actions.push(SuccessorAction::Disconnect);
        }
        if self.phase != SuccessorPhase::Connecting {
            actions.push(SuccessorAction::StopTimer);
        }
        actions
    }
}
