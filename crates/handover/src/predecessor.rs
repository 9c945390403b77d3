//! State machine of the serving process: it accepts a successor, freezes, sends its keys, and commits or
//! resumes.

use crate::fault::Fault;
use crate::message::{PROTOCOL_VERSION, RefuseReason, ServerIdentity};

/// Time limit for `Hello` on a new link.
pub const HELLO_TIMEOUT_MS: u64 = 1_000;

/// Time limit for a welcomed successor to request the transfer. Long, because the successor's worker pool may
/// take long to connect.
pub const TRANSFER_REQUEST_TIMEOUT_MS: u64 = 30_000;

/// Time limit for a successor to load the snapshot. Requests are held during this time.
pub const LOAD_TIMEOUT_MS: u64 = 1_000;

/// An event for the predecessor.
///
/// If a link can't be read any further, for example after a frame that can't be decoded, the caller closes it
/// and reports `Disconnected`. After `HandOver` this doesn't apply: then only the end of the successor's
/// process may be reported as `Disconnected`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorEvent {
    /// A successor has connected. While a link exists, the caller refuses further ones with `Busy` by itself.
    Connected,
    /// A control frame was received.
    Received(PredecessorInput),
    /// The link has ended. Not reported after the action `Disconnect`.
    Disconnected,
    /// The timer has expired.
    TimedOut,
    /// This process has been requested to shut down.
    ShutdownRequested,
}

/// A control frame of [`crate::ToPredecessor`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorInput {
    /// The frame `Hello`.
    Hello {
        /// The successor's version of the protocol.
        version: u32,
        /// The identity of the successor.
        identity: ServerIdentity,
    },
    /// The frame `RequestTransfer`.
    RequestTransfer,
    /// The frame `Loaded`.
    Loaded {
        /// Number of keys that the successor has loaded.
        keys: u64,
    },
}

/// An action for the caller. Actions have to be performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Send `Welcome` with the file descriptor of the listening socket.
    SendWelcome,
    /// Send `Refuse`.
    SendRefusal(RefuseReason),
    /// Hold queued and arriving requests, and start no run.
    Freeze,
    /// Send all keys and `SnapshotEnd` immediately, then call [`Predecessor::snapshot_sent`].
    SendSnapshot,
    /// Send `Commit`. `HandOver` follows.
    SendCommit,
    /// Forward all held and arriving requests, and accept no connection.
    HandOver,
    /// Decide on the held requests in this process, since the transfer failed.
    Resume,
    /// Serve again, since the successor died after the commit, and fail requests with keys for one key
    /// window.
    TakeBack,
    /// Close the link once all frames sent on it before are transmitted.
    Disconnect,
    /// Start the timer, replacing a running one.
    StartTimer {
        /// Time until the timer expires, ms.
        ms: u64,
    },
    /// Stop the timer.
    StopTimer,
}

/// Phase of the handover at the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorPhase {
    /// The predecessor owns the keys. It may have a link on which no `Hello` has been accepted yet.
    Serving,
    /// The predecessor owns the keys and has welcomed a successor.
    Welcomed,
    /// The predecessor owns the keys and starts no run.
    Transferring,
    /// The predecessor owns no key.
    HandedOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Serving,
    AwaitingHello,
    Welcomed,
    /// The snapshot is being transferred; `sent_keys` is its number of keys once it is sent.
    Transferring {
        sent_keys: Option<u64>,
    },
    HandedOver,
}

/// State machine of the serving process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    identity: ServerIdentity,
    state: State,
    shutting_down: bool,
    fault: Fault,
}

impl Predecessor {
    /// Returns the state machine of a process that serves with this identity.
    pub fn new(identity: ServerIdentity) -> Self {
        Self::with_fault(identity, Fault::None)
    }

    /// Returns the state machine with an injected fault, which has an effect only with the `test-faults`
    /// feature.
    pub fn with_fault(identity: ServerIdentity, fault: Fault) -> Self {
        Predecessor { identity, state: State::Serving, shutting_down: false, fault }
    }

    /// Returns the phase of the handover.
    pub fn phase(&self) -> PredecessorPhase {
        match self.state {
            State::Serving | State::AwaitingHello => PredecessorPhase::Serving,
            State::Welcomed => PredecessorPhase::Welcomed,
            State::Transferring { .. } => PredecessorPhase::Transferring,
            State::HandedOver => PredecessorPhase::HandedOver,
        }
    }

    /// Records that the snapshot was sent and contained `keys` keys. Has no effect outside a transfer or if
    /// called again.
    pub fn snapshot_sent(&mut self, keys: u64) {
        if let State::Transferring { sent_keys: sent_keys @ None } = &mut self.state {
            *sent_keys = Some(keys);
        }
    }

    /// Processes an event and returns the actions to perform.
    pub fn on_event(&mut self, event: PredecessorEvent) -> Vec<PredecessorAction> {
        match event {
            PredecessorEvent::Connected => self.on_connected(),
            PredecessorEvent::Received(input) => self.on_received(input),
            PredecessorEvent::Disconnected => self.on_disconnected(),
            PredecessorEvent::TimedOut => self.on_timed_out(),
            PredecessorEvent::ShutdownRequested => {
                self.shutting_down = true;
                Vec::new()
            }
        }
    }

    fn on_connected(&mut self) -> Vec<PredecessorAction> {
        if self.state != State::Serving {
            return Vec::new();
        }
        if self.shutting_down {
            let refusal = PredecessorAction::SendRefusal(RefuseReason::ShuttingDown);
            return vec![refusal, PredecessorAction::Disconnect];
        }
        self.state = State::AwaitingHello;
        vec![PredecessorAction::StartTimer { ms: HELLO_TIMEOUT_MS }]
    }

    fn on_received(&mut self, input: PredecessorInput) -> Vec<PredecessorAction> {
        match (self.state, input) {
            (State::AwaitingHello, PredecessorInput::Hello { version, identity }) => {
                self.on_hello(version, &identity)
            }
            (State::Welcomed, PredecessorInput::RequestTransfer) => self.begin_transfer(),
            (State::Transferring { sent_keys: Some(sent) }, PredecessorInput::Loaded { keys })
                if sent == keys =>
            {
                self.commit()
            }
            // The link has to stay open as long as the successor lives, because its end counts as the
            // successor's end.
            (State::HandedOver, _) => Vec::new(),
            _ => self.close_link(),
        }
    }

    fn on_hello(&mut self, version: u32, identity: &ServerIdentity) -> Vec<PredecessorAction> {
        if let Some(reason) = self.refusal_reason(version, identity) {
            self.state = State::Serving;
            return vec![
                PredecessorAction::SendRefusal(reason),
                PredecessorAction::Disconnect,
                PredecessorAction::StopTimer,
            ];
        }
        self.state = State::Welcomed;
        vec![
            PredecessorAction::SendWelcome,
            PredecessorAction::StartTimer { ms: TRANSFER_REQUEST_TIMEOUT_MS },
        ]
    }

    fn refusal_reason(&self, version: u32, identity: &ServerIdentity) -> Option<RefuseReason> {
        if version != PROTOCOL_VERSION {
            Some(RefuseReason::OtherVersion)
        } else if *identity != self.identity {
            Some(RefuseReason::OtherIdentity)
        } else if self.shutting_down {
            Some(RefuseReason::ShuttingDown)
        } else {
            None
        }
    }

    fn begin_transfer(&mut self) -> Vec<PredecessorAction> {
        if self.fault.is(Fault::CommitBeforeSnapshotEnd) {
            let mut actions = vec![PredecessorAction::Freeze];
            actions.extend(self.commit());
            actions.push(PredecessorAction::SendSnapshot);
            return actions;
        }
        self.state = State::Transferring { sent_keys: None };
        vec![
            PredecessorAction::Freeze,
            PredecessorAction::SendSnapshot,
            PredecessorAction::StartTimer { ms: LOAD_TIMEOUT_MS },
        ]
    }

    fn commit(&mut self) -> Vec<PredecessorAction> {
        self.state = State::HandedOver;
        vec![PredecessorAction::SendCommit, PredecessorAction::HandOver, PredecessorAction::StopTimer]
    }

    /// Closes a link on which an unexpected frame was received, and continues to serve.
    fn close_link(&mut self) -> Vec<PredecessorAction> {
        let mut actions = self.resume_if_frozen();
        actions.push(PredecessorAction::Disconnect);
        if self.state != State::Serving {
            actions.push(PredecessorAction::StopTimer);
        }
        self.state = State::Serving;
        actions
    }

    fn on_disconnected(&mut self) -> Vec<PredecessorAction> {
        let mut actions = self.resume_if_frozen();
        match self.state {
            State::Serving => {}
            State::HandedOver => actions.push(PredecessorAction::TakeBack),
            State::AwaitingHello | State::Welcomed | State::Transferring { .. } => {
                actions.push(PredecessorAction::StopTimer);
            }
        }
        self.state = State::Serving;
        actions
    }

    fn on_timed_out(&mut self) -> Vec<PredecessorAction> {
        if matches!(self.state, State::Serving | State::HandedOver) {
            return Vec::new();
        }
        let mut actions = self.resume_if_frozen();
        actions.push(PredecessorAction::Disconnect);
        self.state = State::Serving;
        actions
    }

    fn resume_if_frozen(&self) -> Vec<PredecessorAction> {
        match self.state {
            State::Transferring { .. } => vec![PredecessorAction::Resume],
            State::Serving | State::AwaitingHello | State::Welcomed | State::HandedOver => Vec::new(),
        }
    }
}
