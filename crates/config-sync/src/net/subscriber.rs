//! A subscriber as a future: its connection, its timer, its state on disk, and whoever puts updates in force.

use super::client_settings::ClientSettings;
use super::clock::{Alarm, Clock};
use super::link::{Link, LinkEvent};
use super::settings::{check_member, frame_key};
use super::shared_tables::SharedTables;
use super::socket::Turn;
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
    /// It is.
    Now,
    /// It will be once [`SubscriberHandle::applied`] is called with its position.
    Later,
}

/// Puts updates in force.
pub trait Observer: Send {
    /// The next update, in order; called on the subscriber's executor, so it must not wait.
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
    /// The position at which the table was shared last.
    shared_at: Position,
    keeper: Option<StateKeeper>,
    shared: Arc<Shared>,
    wakes: Receiver<()>,
    /// A failure to connect is news once.
    connect_failed: bool,
    log: Logger,
}

/// What a subscriber begins with.
enum Beginning {
    /// A state, if there is one, that has yet to be put in force.
    Kept(Option<PersistedState>),
    /// One that is in force.
    InForce(PersistedState),
}

enum Step {
    Link(LinkEvent),
    Woken,
    Rang,
    Ended,
}

impl SubscriberTask {
    /// Reads the state on disk, if settings name a directory, and puts it in force: the observer hears of it before this
    /// returns.
    ///
    /// # Errors
    /// If the settings are not right. A state on disk that can't be used is logged and put aside.
    pub fn new(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        let (keeper, kept) = match &settings.state_directory {
            Some(directory) => StateKeeper::open(directory, &settings.member.name, &log),
            None => (None, None),
        };
        SubscriberTask::begin(settings, judge, observer, tables, log, Beginning::Kept(kept), keeper)
    }

    /// The same, beginning with a state that the caller has, and with none on disk.
    ///
    /// # Errors
    /// If the settings are not right.
    pub fn with_state(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
        state: PersistedState,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        SubscriberTask::begin(settings, judge, observer, tables, log, Beginning::Kept(Some(state)), None)
    }

    /// The same with a state that the caller has in force already: the observer hears of what comes after it alone.
    ///
    /// # Errors
    /// If the settings are not right.
    pub fn resume(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
        state: PersistedState,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        SubscriberTask::begin(settings, judge, observer, tables, log, Beginning::InForce(state), None)
    }

    fn begin(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        observer: Box<dyn Observer>,
        tables: Option<SharedTables>,
        log: Logger,
        beginning: Beginning,
        keeper: Option<StateKeeper>,
    ) -> io::Result<(SubscriberTask, SubscriberHandle)> {
        let key = frame_key(&settings.fleet_key)?;
        check_member(&settings.member)?;
        let clock = Clock::start();
        let follower = FollowerSettings::new(settings.member, settings.servers, settings.seed);
        let mut actions = Vec::new();
        let settings = SubscriberSettings::new(follower);
        let mut subscriber = match beginning {
            Beginning::Kept(kept) => Subscriber::new(settings, judge, kept, clock.now(), &mut actions),
            Beginning::InForce(state) => Subscriber::resume(settings, judge, &state, clock.now()),
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

    /// Follows until all handles are dropped.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        let mut event = Some(SubscriberEvent::Link(FollowerEvent::Tick));
        let mut turn = Turn::default();
        loop {
            turn.step().await;
            let now = self.clock.now();
            if let Some(event) = event.take() {
                self.subscriber.on_event(now, event, &mut actions);
            }
            self.carry_out(now, &mut actions);
            // Never at once again, whatever is due: other tasks run on this executor.
            self.alarm.set(self.subscriber.deadline().max(now + 1));
            event = match self.next_step().await {
                Step::Link(event) => Some(SubscriberEvent::Link(self.follower_event(event))),
                Step::Woken => Some(SubscriberEvent::Applied(self.shared.confirmed())),
                Step::Rang => Some(SubscriberEvent::Link(FollowerEvent::Tick)),
                Step::Ended => return,
            };
        }
    }

    async fn next_step(&mut self) -> Step {
        let woken = async {
            match self.wakes.recv().await {
                Ok(()) => Step::Woken,
                Err(_) => Step::Ended,
            }
        };
        let rang = async {
            self.alarm.rings().await;
            Step::Rang
        };
        let received = async { Step::Link(self.link.next().await) };
        // What has arrived comes before the time: a process that had no turn for long does not take its server for silent.
        or(woken, or(received, rang)).await
    }

    /// Logs what the link says and hands it on.
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
                            keeper.keep(record);
                        }
                    }
                }
            }
            if let Some(position) = confirmed {
                self.subscriber.on_event(now, SubscriberEvent::Applied(position), actions);
            }
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.catch_up(now, &self.subscriber);
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
