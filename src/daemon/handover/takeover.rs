//! Takeover from a predecessor: connects to it and executes the actions of the successor's state machine.

use super::frames::{frame, return_responses, send_to_predecessor};
use super::successors::SuccessorAcceptor;
use crate::daemon::error::DaemonError;
use crate::server::handover::{
    HandoverDirectory, HandoverStream, LinkEvent, OutgoingFrame, ReceivedFrame, connect, run_link,
};
use crate::server::messages::{ConnectionMessage, DispatcherMessage, DispatcherSender, PredecessorMessage};
use crate::server::supervisor::TaskFailure;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use dunlinspread_handover::{
    GiveUpReason, KeyRecord, ServerIdentity, Successor, SuccessorAction, SuccessorEvent, SuccessorInput,
    SuccessorPhase, ToPredecessor, ToSuccessor,
};
use futures_lite::future::{or, pending};
use slog::{Logger, error, info, warn};
use std::net::TcpListener;
use std::rc::Rc;

/// Maximum number of the link's events queued for this task; a full queue blocks the predecessor.
const MAX_WAITING_LINK_EVENTS: usize = 64;

/// A link to the predecessor.
struct Link {
    outgoing: Sender<OutgoingFrame>,
    events: Receiver<LinkEvent>,
    _task: Task<()>,
}

/// Event that wakes the takeover task.
enum Wake {
    Link(LinkEvent),
    CanServe,
    TimedOut,
    ReconnectDue,
}

/// Handover from a predecessor to this process.
pub(in crate::daemon) struct Takeover {
    state_machine: Successor,
    identity: ServerIdentity,
    directory: HandoverDirectory,
    link: Option<Link>,
    /// When the current step times out, Unix ms.
    timeout_at: Option<f64>,
    /// When to reconnect, Unix ms.
    reconnect_at: Option<f64>,
    /// The listening socket, from the first welcome until the listener starts.
    listening_socket: Option<TcpListener>,
    was_welcomed: bool,
    /// Whether no process listened at the last connection attempt, although a predecessor had welcomed this
    /// one before.
    predecessor_died: bool,
    /// Key records of the snapshot that were received last and are not loaded yet.
    records: Vec<KeyRecord>,
    /// Whether all key records received so far could be loaded.
    all_loaded: bool,
    give_up_reason: Option<GiveUpReason>,
    dispatcher: DispatcherSender,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    wheel: Rc<TimerWheel>,
    log: Logger,
}

/// Channels and the acceptor that the takeover task needs once the server's tasks run.
pub(in crate::daemon) struct TakeoverTask {
    /// Receives one message once the link to the worker pool is up.
    pub(in crate::daemon) can_serve: Receiver<()>,
    /// Responses to forwarded requests.
    pub(in crate::daemon) responses: Receiver<ConnectionMessage>,
    /// Acceptor of this process's own successors, started once this process serves.
    pub(in crate::daemon) acceptor: SuccessorAcceptor,
    /// Channel on which the failure of the handover is reported.
    pub(in crate::daemon) failures: Sender<TaskFailure>,
}

/// Parts of the process that a [`Takeover`] uses.
pub(in crate::daemon) struct TakeoverContext {
    pub(in crate::daemon) dispatcher: DispatcherSender,
    pub(in crate::daemon) executor: Rc<LocalExecutor<'static>>,
    pub(in crate::daemon) clock: Clock,
    pub(in crate::daemon) wheel: Rc<TimerWheel>,
    pub(in crate::daemon) log: Logger,
}

impl Takeover {
    /// Connects to a predecessor; `None` if there is none or connecting to it fails.
    pub(in crate::daemon) fn find(
        directory: &HandoverDirectory,
        identity: ServerIdentity,
        context: TakeoverContext,
    ) -> Option<Takeover> {
        let TakeoverContext { dispatcher, executor, clock, wheel, log } = context;
        let stream = match connect(directory) {
            Ok(stream) => stream?,
            Err(error) => {
                error!(log, "handover: connecting to the predecessor failed"; "error" => %error);
                return None;
            }
        };
        let mut takeover = Takeover {
            state_machine: Successor::new(identity.clone()),
            identity,
            directory: directory.clone(),
            link: None,
            timeout_at: None,
            reconnect_at: None,
            listening_socket: None,
            was_welcomed: false,
            predecessor_died: false,
            records: Vec::new(),
            all_loaded: true,
            give_up_reason: None,
            dispatcher,
            executor,
            clock,
            wheel,
            log,
        };
        takeover.start_link(stream);
        Some(takeover)
    }

    /// Runs the handover until the predecessor has sent its listening socket, and returns the socket.
    ///
    /// # Errors
    /// Returns [`DaemonError::Handover`] if the handover is given up.
    pub(in crate::daemon) async fn receive_socket(&mut self) -> Result<TcpListener, DaemonError> {
        self.advance(SuccessorEvent::Connected).await;
        loop {
            if let Some(socket) = self.listening_socket.take() {
                return Ok(socket);
            }
            if let Some(reason) = self.give_up_reason {
                return Err(DaemonError::Handover(reason));
            }
            let wake = self.next_wake(None).await;
            self.on_wake(wake).await;
        }
    }

    /// Runs the handover until the predecessor has ended. A handover that fails before the commit is a
    /// failure of this process, unless the predecessor died: then no other process serves, and this one
    /// starts serving.
    pub(in crate::daemon) async fn run(mut self, task: TakeoverTask) {
        let TakeoverTask { can_serve, responses, acceptor, failures } = task;
        while self.state_machine.phase() != SuccessorPhase::Owner && self.give_up_reason.is_none() {
            let wake = self.next_wake(Some(&can_serve)).await;
            self.on_wake(wake).await;
        }
        if let Some(reason) = self.give_up_reason {
            if !self.predecessor_died {
                error!(self.log, "handover: given up"; "reason" => %reason);
                let _ = failures.send(TaskFailure::Ended { task: "handover" }).await;
                return;
            }
            warn!(self.log, "handover: predecessor died, serving without its keys");
            self.notify_dispatcher(PredecessorMessage::KeysUnknown).await;
        }
        self.start_serving(responses, acceptor).await;
        while self.state_machine.phase() == SuccessorPhase::Owner {
            let wake = self.next_wake(None).await;
            self.on_wake(wake).await;
        }
    }

    async fn next_wake(&self, can_serve: Option<&Receiver<()>>) -> Wake {
        let link_event = async {
            match &self.link {
                Some(link) => match link.events.recv().await {
                    Ok(event) => Wake::Link(event),
                    Err(_) => Wake::Link(LinkEvent::Closed { error: None }),
                },
                None => pending().await,
            }
        };
        let can_serve = async {
            match can_serve {
                Some(can_serve) if can_serve.recv().await.is_ok() => Wake::CanServe,
                _ => pending().await,
            }
        };
        let timed_out = async {
            self.sleep_until(self.timeout_at).await;
            Wake::TimedOut
        };
        let reconnect_due = async {
            self.sleep_until(self.reconnect_at).await;
            Wake::ReconnectDue
        };
        or(link_event, or(can_serve, or(timed_out, reconnect_due))).await
    }

    /// Sleeps until `at`, Unix ms; forever if it is `None`.
    async fn sleep_until(&self, at: Option<f64>) {
        match at {
            Some(at) => self.wheel.sleep(at - self.clock.now()).await,
            None => pending().await,
        }
    }

    async fn on_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Link(LinkEvent::Frame(frame)) => self.on_frame(frame).await,
            Wake::Link(LinkEvent::Closed { error }) => {
                if let Some(error) = error {
                    warn!(self.log, "handover: link to the predecessor failed"; "error" => %error);
                }
                self.link = None;
                self.advance(SuccessorEvent::Disconnected).await;
            }
            Wake::CanServe => self.advance(SuccessorEvent::CanServe).await,
            Wake::TimedOut => {
                self.timeout_at = None;
                self.advance(SuccessorEvent::TimedOut).await;
            }
            Wake::ReconnectDue => {
                let connected = self.reconnect();
                let event = if connected { SuccessorEvent::Connected } else { SuccessorEvent::Disconnected };
                self.advance(event).await;
            }
        }
    }

    async fn on_frame(&mut self, frame: ReceivedFrame) {
        let message = match ToSuccessor::decode(&frame.bytes) {
            Ok(message) => message,
            Err(error) => {
                warn!(self.log, "handover: faulty frame of the predecessor"; "error" => %error);
                if self.state_machine.phase() != SuccessorPhase::Owner {
                    self.link = None;
                    self.advance(SuccessorEvent::Disconnected).await;
                }
                return;
            }
        };
        match message {
            ToSuccessor::Welcome { version, body_hash_key, evacuated } => {
                let Some(descriptor) = frame.descriptor else {
                    warn!(self.log, "handover: the predecessor's welcome carries no listening socket");
                    self.link = None;
                    return self.advance(SuccessorEvent::Disconnected).await;
                };
                if !self.was_welcomed {
                    self.listening_socket = Some(TcpListener::from(descriptor));
                    self.was_welcomed = true;
                }
                self.notify_dispatcher(PredecessorMessage::Welcome { body_hash_key, evacuated }).await;
                self.step(SuccessorInput::Welcome { version }).await;
            }
            ToSuccessor::Refuse { reason } => self.step(SuccessorInput::Refuse { reason }).await,
            ToSuccessor::Keys(records) => {
                let count = records.len() as u64;
                self.records = records;
                self.step(SuccessorInput::Keys { count }).await;
            }
            ToSuccessor::SnapshotEnd { keys } => self.step(SuccessorInput::SnapshotEnd { keys }).await,
            ToSuccessor::Commit => self.step(SuccessorInput::Commit).await,
            message => self.notify_dispatcher(PredecessorMessage::Frame(message)).await,
        }
    }

    async fn step(&mut self, input: SuccessorInput) {
        self.advance(SuccessorEvent::Received(input)).await;
    }

    /// Passes an event to the state machine and executes the resulting actions.
    async fn advance(&mut self, event: SuccessorEvent) {
        for action in self.state_machine.on_event(event) {
            self.execute(action).await;
        }
    }

    async fn execute(&mut self, action: SuccessorAction) {
        match action {
            SuccessorAction::SendHello => {
                let identity = self.identity.clone();
                let version = dunlinspread_handover::PROTOCOL_VERSION;
                self.send(&ToPredecessor::Hello { version, identity }).await;
            }
            SuccessorAction::SendRequestTransfer => self.send(&ToPredecessor::RequestTransfer).await,
            SuccessorAction::SendLoaded { keys } => self.send_loaded(keys).await,
            SuccessorAction::LoadKeys => self.load_keys().await,
            SuccessorAction::DiscardKeys => {
                self.all_loaded = true;
                self.notify_dispatcher(PredecessorMessage::DiscardKeys).await;
            }
            // Executed by [`Takeover::run`], which checks the phase.
            SuccessorAction::BecomeOwner => {}
            SuccessorAction::PredecessorGone => self.notify_dispatcher(PredecessorMessage::Gone).await,
            SuccessorAction::Reconnect { after_ms } => {
                self.reconnect_at = Some(self.clock.now() + after_ms as f64);
            }
            SuccessorAction::GiveUp(reason) => self.give_up_reason = Some(reason),
            SuccessorAction::Disconnect => self.link = None,
            SuccessorAction::StartTimer { ms } => self.timeout_at = Some(self.clock.now() + ms as f64),
            SuccessorAction::StopTimer => self.timeout_at = None,
        }
    }

    /// Confirms the snapshot if all of it could be loaded; otherwise the predecessor times out and keeps
    /// serving.
    async fn send_loaded(&mut self, keys: u64) {
        if self.all_loaded {
            self.send(&ToPredecessor::Loaded { keys }).await;
        }
    }

    async fn load_keys(&mut self) {
        let records = std::mem::take(&mut self.records);
        let (loaded, all_loaded) = async_channel::bounded(1);
        self.notify_dispatcher(PredecessorMessage::LoadKeys { records, loaded }).await;
        self.all_loaded &= all_loaded.recv().await.unwrap_or(false);
    }

    /// Makes the dispatcher the owner of all requests, and starts accepting successors.
    async fn start_serving(&mut self, responses: Receiver<ConnectionMessage>, acceptor: SuccessorAcceptor) {
        let mut to_predecessor = None;
        if let Some(link) = &self.link {
            let (predecessor, frames) = async_channel::unbounded();
            self.executor.spawn(send_to_predecessor(frames, link.outgoing.clone())).detach();
            self.executor.spawn(return_responses(responses, predecessor.clone())).detach();
            to_predecessor = Some(predecessor);
        }
        self.notify_dispatcher(PredecessorMessage::BecomeOwner(to_predecessor)).await;
        self.executor.spawn(acceptor.run()).detach();
    }

    /// Tries to reconnect to the predecessor, and returns whether that succeeded.
    fn reconnect(&mut self) -> bool {
        self.reconnect_at = None;
        match connect(&self.directory) {
            Ok(Some(stream)) => {
                info!(self.log, "handover: reconnected to the predecessor");
                self.predecessor_died = false;
                self.start_link(stream);
                true
            }
            Ok(None) => {
                // A running predecessor always listens, even while it is stopped by a signal. The protocol
                // keeps trying for more than a second.
                self.predecessor_died = self.was_welcomed;
                false
            }
            Err(error) => {
                warn!(self.log, "handover: reconnecting to the predecessor failed"; "error" => %error);
                false
            }
        }
    }

    fn start_link(&mut self, stream: HandoverStream) {
        let (outgoing, frames) = async_channel::unbounded();
        let (events, link_events) = async_channel::bounded(MAX_WAITING_LINK_EVENTS);
        let task = self.executor.spawn(run_link(stream, frames, events));
        self.link = Some(Link { outgoing, events: link_events, _task: task });
    }

    async fn send(&self, message: &ToPredecessor) {
        if let Some(link) = &self.link {
            // If the link has ended, an event reports it.
            let _ = link.outgoing.send(frame(message)).await;
        }
    }

    async fn notify_dispatcher(&self, message: PredecessorMessage) {
        // The dispatcher's mailbox closes only when the process ends.
        let _ = self.dispatcher.send(DispatcherMessage::Predecessor(message)).await;
    }
}
