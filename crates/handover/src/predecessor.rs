//! The side of the process that serves: it greets a successor, freezes, sends its keys, and commits or resumes.

use crate::fault::Fault;
use crate::message::{PROTOCOL_VERSION, RefuseReason, ServerIdentity};

/// How long a new link may take to its `Hello`.
pub const HELLO_TIMEOUT_MS: u64 = 1_000;

/// How long a greeted successor may take to ask for the transfer: its worker-pool link may come up late.
pub const TRANSFER_REQUEST_TIMEOUT_MS: u64 = 30_000;

/// How long a successor may take to load the snapshot. Requests are held meanwhile.
pub const LOAD_TIMEOUT_MS: u64 = 1_000;

/// What happens to the predecessor.
///
/// A link that could not be read further, for example after a frame that can't be decoded, is closed by the caller and
/// told as `Disconnected`; not so after `HandOver`, where only the end of the successor's process may be told so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorEvent {
    /// A successor has connected. While a link is there, the caller refuses further ones with `Busy` by itself.
    Connected,
    /// A control frame came.
    Received(PredecessorInput),
    /// The link has ended. Not told after the action `Disconnect`.
    Disconnected,
    /// The timer has run out.
    TimedOut,
    /// This process shall end.
    ShutdownRequested,
}

/// The control frames among [`crate::ToPredecessor`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorInput {
    /// `Hello`.
    Hello {
        /// The successor's version of the protocol.
        version: u32,
        /// Which server it is.
        identity: ServerIdentity,
    },
    /// `RequestTransfer`.
    RequestTransfer,
    /// `Loaded`.
    Loaded {
        /// How many keys.
        keys: u64,
    },
}

/// What the caller has to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Send `Welcome` with the descriptor of the listening socket.
    SendWelcome,
    /// Send `Refuse`.
    SendRefusal(RefuseReason),
    /// Hold queued requests and arrivals, start no run.
    Freeze,
    /// Send all keys and `SnapshotEnd`, at once; then call [`Predecessor::snapshot_sent`].
    SendSnapshot,
    /// Send `Commit`. `HandOver` follows.
    SendCommit,
    /// Forward all that is held and all that arrives; accept no connection.
    HandOver,
    /// The transfer failed: decide what is held here.
    Resume,
    /// The successor died after the commit: serve again, and fail keyed requests for a window.
    TakeBack,
    /// Close the link, after what was sent on it.
    Disconnect,
    /// Start the timer, in place of the one that runs.
    StartTimer {
        /// When it runs out, ms from now.
        ms: u64,
    },
    /// Stop the timer.
    StopTimer,
}

/// What the predecessor is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorPhase {
    /// It owns the keys. A link that has not been greeted yet may be there.
    Serving,
    /// It owns the keys, and a successor has been welcomed.
    Greeted,
    /// It owns the keys, and starts no run.
    Transferring,
    /// It owns no key.
    HandedOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Serving,
    AwaitingHello,
    Greeted,
    /// With the number of keys in the snapshot, once it is sent.
    Transferring {
        sent_keys: Option<u64>,
    },
    HandedOver,
}

/// The state machine of the process that serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    identity: ServerIdentity,
    state: State,
    shutting_down: bool,
    fault: Fault,
}

impl Predecessor {
    /// Returns the machine of a process that serves as this server.
    pub fn new(identity: ServerIdentity) -> Self {
        Self::with_fault(identity, Fault::None)
    }

    /// Returns the machine with a guard left out, which has an effect with the feature `test-faults` alone.
    pub fn with_fault(identity: ServerIdentity, fault: Fault) -> Self {
        Predecessor { identity, state: State::Serving, shutting_down: false, fault }
    }

    /// Returns what it is doing.
    pub fn phase(&self) -> PredecessorPhase {
        match self.state {
            State::Serving | State::AwaitingHello => PredecessorPhase::Serving,
            State::Greeted => PredecessorPhase::Greeted,
            State::Transferring { .. } => PredecessorPhase::Transferring,
            State::HandedOver => PredecessorPhase::HandedOver,
        }
    }

    /// Records that the snapshot was sent with so many keys. Without effect outside a transfer, or a second time.
    pub fn snapshot_sent(&mut self, keys: u64) {
        if let State::Transferring { sent_keys: sent_keys @ None } = &mut self.state {
            *sent_keys = Some(keys);
        }
    }

    /// Takes an event and returns what is to be done.
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
            (State::Greeted, PredecessorInput::RequestTransfer) => self.begin_transfer(),
            (State::Transferring { sent_keys: Some(sent) }, PredecessorInput::Loaded { keys })
                if sent == keys =>
            {
                self.commit()
            }
            // The link has to stay as long as the successor lives: its end would be taken for the successor's.
            (State::HandedOver, _) => Vec::new(),
            _ => self.end_link(),
        }
    }

    fn on_hello(&mut self, version: u32, identity: &ServerIdentity) -> Vec<PredecessorAction> {
        if let Some(reason) = self.reason_to_refuse(version, identity) {
            self.state = State::Serving;
            return vec![
                PredecessorAction::SendRefusal(reason),
                PredecessorAction::Disconnect,
                PredecessorAction::StopTimer,
            ];
        }
        self.state = State::Greeted;
        vec![
            PredecessorAction::SendWelcome,
            PredecessorAction::StartTimer { ms: TRANSFER_REQUEST_TIMEOUT_MS },
        ]
    }

    fn reason_to_refuse(&self, version: u32, identity: &ServerIdentity) -> Option<RefuseReason> {
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

    /// Ends a link on which something came that has no place there, and goes on serving.
    fn end_link(&mut self) -> Vec<PredecessorAction> {
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
            State::AwaitingHello | State::Greeted | State::Transferring { .. } => {
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
            State::Serving | State::AwaitingHello | State::Greeted | State::HandedOver => Vec::new(),
        }
    }
}
