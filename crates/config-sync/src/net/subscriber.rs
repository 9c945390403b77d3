//! A subscriber as a future, with its connection, its timer, its state on disk, and the observer that puts
//! updates in force.

use super::client_settings::ClientSettings;
use super::clock::{Alarm, Clock};
use super::link::{Link, LinkEvent};
use super::settings::{check_member, frame_key};
use super::shared_tables::SharedTables;
use super::socket::YieldBudget;
use super::state_keeper::StateKeeper;
use super::subscriber_handle::{Shared, SubscriberHandle};
use crate::follower::{DisconnectReason, FollowerEvent, FollowerSettings, LinkAction};
use crate::judge::Judge;
use crate::resource::{Millis, Position};
use crate::subscriber::{PersistedState, Subscriber, SubscriberAction, SubscriberEvent, SubscriberSettings};
use crate::update::Update;
use async_channel::Receiver;
use futures_lite::future::or;
use slog::{Logger, debug, info, warn};
use std::io;
use std::sync::Arc;

/// Whether an update is in force when [`Observer::in_force`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The update is in force.
    Now,
    /// The update is in force once [`SubscriberHandle::applied`] is called with its position.
    Later,
}

/// Puts updates in force.
pub trait Observer: Send {
    /// Puts the next update in force, or accepts it to be put in force later. Updates arrive in order. The
    /// method is called on the subscriber's executor, so it must not block.
    fn in_force(&mut self, update: Update) -> Confirmation;
}

/// A subscriber that is not yet running: [`SubscriberTask::run`] is its future.
pub struct SubscriberTask {
    subscriber: Subscriber,
    link: Link,
    clock: Clock,
    alarm: Alarm,
    observer: Box<dyn Observer>,
    tables: Option<SharedTables>,
    /// Position at which the table was last shared.
    shared_at: Position,
    keeper: Option<StateKeeper>,
    shared: Arc<Shared>,
    wakes: Receiver<()>,
    /// Whether the last attempt to connect failed. Only the first failure in a row is logged.
    connect_failed: bool,
    log: Logger,
}

/// Initial state of a subscriber.
enum InitialState {
    /// A saved state, if there is one, that is not in force yet.
    Saved(Option<PersistedState>),
    /// A state that is already in force.
    InForce(PersistedState),
}

/// Event that ends a subscriber's wait.
enum Wakeup {
    Link(LinkEvent),
    /// The owner confirmed a position through a handle.
    Confirmed,
    AlarmFired,
    /// All handles were dropped.
    HandlesDropped,
}

impl SubscriberTask {
    /// Creates a subscriber. If the settings name a directory, reads the state on disk and passes it to the
    /// observer before returning. The files of a damaged state are moved aside. Failures of the disk are
    /// logged and don't prevent the start.
    ///
    /// # Errors
    /// Returns an [`io::Error`] of kind `InvalidInput` if the fleet key or a name of the member has an
    /// invalid length.
    pub fn new(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        let (keeper, saved) = match &settings.state_directory {
            Some(directory) => StateKeeper::open(directory, &settings.member.name, &log),
            None => (None, None),
        };
        SubscriberTask::build(settings, judge, observer, tables, log, InitialState::Saved(saved), keeper)
    }

    /// Creates a subscriber that begins with a state supplied by the caller and stores none on disk. The
    /// observer receives the state before this returns.
    ///
    /// # Errors
    /// Fails like [`SubscriberTask::new`].
    pub fn with_state(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
        state: PersistedState,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        SubscriberTask::build(settings, judge, observer, tables, log, InitialState::Saved(Some(state)), None)
    }

    /// Creates a subscriber that begins with a state that the caller already has in force and stores none on
    /// disk. The observer receives only later updates.
    ///
    /// # Errors
    /// Fails like [`SubscriberTask::new`].
    pub fn resume(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
        state: PersistedState,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        SubscriberTask::build(settings, judge, observer, tables, log, InitialState::InForce(state), None)
    }

    fn build(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
        initial_state: InitialState,
        keeper: Option<StateKeeper>,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        let key = frame_key(&settings.fleet_key)?;
        check_member(&settings.member)?;
        let clock = Clock::start();
        let follower = FollowerSettings::new(settings.member, settings.servers, settings.seed);
        let mut actions = Vec::new();
        let settings = SubscriberSettings::new(follower);
        let mut subscriber = match initial_state {
            InitialState::Saved(state) => Subscriber::new(settings, judge, state, clock.now(), &mut actions),
            InitialState::InForce(state) => Subscriber::resume(settings, judge, &state, clock.now()),
        };
        if let Some(tables) = &tables {
            tables.share_steps(&mut subscriber);
        }
        let (shared, wakes) = Shared::new(clock);
        let mut task = SubscriberTask {
            subscriber,
            link: Link::new(key),
            clock,
            alarm: Alarm::new(clock),
            observer,
            tables,
            shared_at: Position::default(),
            keeper,
            shared: shared.clone(),
            wakes,
            connect_failed: false,
            log,
        };
        task.carry_out(clock.now(), &mut actions);
        let handle = SubscriberHandle::new(shared);
        Ok((task, handle))
    }

    /// Runs the subscriber until all its handles are dropped.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        let mut event = Some(SubscriberEvent::Link(FollowerEvent::Tick));
        let mut yield_budget = YieldBudget::default();
        loop {
            yield_budget.step().await;
            let now = self.clock.now();
            if let Some(event) = event.take() {
                self.subscriber.on_event(now, event, &mut actions);
            }
            self.carry_out(now, &mut actions);
            // Waits at least 1 ms, whatever is due, because other tasks run on this executor.
            self.alarm.set(self.subscriber.deadline().max(now + 1));
            event = match self.next_wakeup().await {
                Wakeup::Link(event) => Some(SubscriberEvent::Link(self.follower_event(event))),
                Wakeup::Confirmed => Some(SubscriberEvent::Applied(self.shared.confirmed())),
                Wakeup::AlarmFired => Some(SubscriberEvent::Link(FollowerEvent::Tick)),
                Wakeup::HandlesDropped => return,
            };
        }
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        let confirmed = async {
            match self.wakes.recv().await {
                Ok(()) => Wakeup::Confirmed,
                Err(_) => Wakeup::HandlesDropped,
            }
        };
        let alarm_fired = async {
            self.alarm.fired().await;
            Wakeup::AlarmFired
        };
        let received = async { Wakeup::Link(self.link.next().await) };
        // Received messages take precedence over the timer: a process that was not scheduled for a long time
        // must not take its server for silent.
        or(confirmed, or(received, alarm_fired)).await
    }

    /// Logs a link event and converts it to an event of the state machine.
    fn follower_event(&mut self, event: LinkEvent) -> FollowerEvent {
        match event {
            LinkEvent::Connected => {
                self.connect_failed = false;
                self.shared.update(|status| status.connections += 1);
                FollowerEvent::Connected
            }
            LinkEvent::ConnectFailed(error) => {
                if !std::mem::replace(&mut self.connect_failed, true) {
                    info!(self.log, "server connection failed";
                        "component" => "config_sync", "error" => %error);
                }
                FollowerEvent::ConnectFailed
            }
            LinkEvent::Received(message) => FollowerEvent::Received(message),
            LinkEvent::Disconnected(error) => {
                if error.is_bad_frame() {
                    warn!(self.log, "server connection closed on error";
                        "component" => "config_sync", "error" => %error);
                    self.shared.update(|status| status.bad_frames += 1);
                } else {
                    info!(self.log, "server connection lost";
                        "component" => "config_sync", "error" => %error);
                }
                self.shared.update(|status| status.server = None);
                FollowerEvent::Disconnected
            }
        }
    }

    fn carry_out(&mut self, now: Millis, actions: &mut Vec<SubscriberAction>) {
        while !actions.is_empty() {
            let mut confirmed = None;
            for action in actions.drain(..) {
                match action {
                    SubscriberAction::Link(action) => self.on_link_action(action),
                    SubscriberAction::InForce(update) => {
                        let position = update.position;
                        if self.observer.in_force(update) == Confirmation::Now {
                            confirmed = Some(position);
                        }
                    }
                    SubscriberAction::Persist(record) => {
                        if let Some(keeper) = &mut self.keeper {
                            keeper.persist(record);
                        }
                    }
                }
            }
            if let Some(position) = confirmed {
                self.subscriber.on_event(now, SubscriberEvent::Applied(position), actions);
            }
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.persist_whole_state_if_due(now, &self.subscriber);
        }
        self.share_table();
        self.shared.publish(now, &self.subscriber, self.link.traffic());
    }

    fn share_table(&mut self) {
        let position = self.subscriber.follower().position();
        if let (Some(tables), true) = (&self.tables, position != self.shared_at) {
            tables.share(&mut self.subscriber);
            self.shared_at = position;
        }
    }

    fn on_link_action(&mut self, action: LinkAction) {
        match action {
            LinkAction::Connect(server) => {
                debug!(self.log, "connecting to server";
                    "component" => "config_sync", "server" => &*server.name);
                self.link.connect(&server);
                self.shared.update(|status| status.server = Some(server.name));
            }
            LinkAction::Send(message) => self.link.send(&message),
            LinkAction::Disconnect(reason) => {
                self.log_disconnect(&reason);
                self.link.disconnect();
                self.shared.update(|status| status.server = None);
            }
        }
    }

    fn log_disconnect(&self, reason: &DisconnectReason) {
        match reason {
            DisconnectReason::Fault(fault) => {
                warn!(self.log, "server disconnected, settings unchanged";
                    "component" => "config_sync", "reason" => %fault);
            }
            DisconnectReason::Silent(_) | DisconnectReason::Stalled(_) => {
                info!(self.log, "server disconnected"; "component" => "config_sync", "reason" => %reason);
            }
            _ => debug!(self.log, "server disconnected"; "component" => "config_sync", "reason" => %reason),
        }
    }
}
