//! The running relay: it follows an upstream server and serves clients.

use super::clock::Clock;
use super::link::{Link, LinkEvent, Traffic};
use super::node::{Node, NodeStatus, Ticker, accept, tick};
use super::notify::LocalNotify;
use super::sessions::Sessions;
use super::settings::{check_member, frame_key};
use super::socket::YieldBudget;
use crate::fanout::{FanoutEvent, FanoutSettings};
use crate::follower::{FollowerEvent, FollowerSettings, LinkAction};
use crate::frame::FrameKey;
use crate::message::{Member, ZoneProgress};
use crate::relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use crate::resource::{Millis, Position};
use crate::server::Server;
use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use futures_lite::future::or;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Maximum number of status requests queued for the relay's thread.
const MAX_STATUS_REQUESTS: usize = 64;

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelayNodeSettings {
    /// Identity of the relay; its role is [`crate::message::Role::Relay`].
    pub member: Member,
    /// Address on which the relay listens; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Servers that the relay may follow, in any order: the publisher for a region's relay, the relays of its
    /// region for a zone's relay.
    pub servers: Vec<Server>,
    /// Fleet key that authenticates frames by their tags, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Seed of the random jitter.
    pub seed: u64,
}

/// A running relay. Dropping it stops its thread. A relay stores nothing on disk.
pub struct RelayNode {
    address: SocketAddr,
    status_requests: Sender<Sender<NodeStatus>>,
    thread: Option<JoinHandle<()>>,
}

impl RelayNode {
    /// Starts a relay on its own thread.
    ///
    /// # Errors
    /// Returns an [`io::Error`] if the settings are invalid, the address can't be listened on or the thread
    /// can't be started.
    pub fn start(settings: RelayNodeSettings, log: Logger) -> io::Result<RelayNode> {
        let key = frame_key(&settings.fleet_key)?;
        check_member(&settings.member)?;
        let listener = Async::new(dunlinspread_sockets::listen(settings.listen)?)?;
        let address = listener.get_ref().local_addr()?;
        let (status_requests, inbox) = bounded(MAX_STATUS_REQUESTS);
        let thread = std::thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || run(settings, &key, &listener, &inbox, &log))?;
        Ok(RelayNode { address, status_requests, thread: Some(thread) })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the newest position that the relay serves.
    pub fn head(&self) -> Position {
        self.status().head
    }

    /// Returns the progress of the zones below the relay.
    pub fn progress(&self) -> Vec<ZoneProgress> {
        self.status().zones
    }

    /// Returns the relay's status; all fields have their defaults once the relay has stopped.
    pub fn status(&self) -> NodeStatus {
        let (reply, answer) = bounded(1);
        let sent = self.status_requests.send_blocking(reply).is_ok();
        if sent { answer.recv_blocking().unwrap_or_default() } else { NodeStatus::default() }
    }
}

impl Drop for RelayNode {
    fn drop(&mut self) {
        self.status_requests.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    settings: RelayNodeSettings,
    key: &FrameKey,
    listener: &Async<TcpListener>,
    status_requests: &Receiver<Sender<NodeStatus>>,
    log: &Logger,
) {
    let driver = Rc::new(RelayDriver::new(settings, key, log));
    let executor = LocalExecutor::new();
    let answer_status = async {
        while let Ok(reply) = status_requests.recv().await {
            // Fails if the caller has stopped waiting.
            let _ = reply.try_send(driver.status());
        }
    };
    let serve = or(accept(listener, &driver, &executor, key, log), tick(&*driver));
    block_on(executor.run(or(answer_status, or(driver.follow(Link::new(key.clone())), serve))));
}

/// State of the connection to the upstream server.
#[derive(Default)]
struct Upstream {
    /// Actions that the link has yet to execute.
    actions: RefCell<VecDeque<LinkAction>>,
    /// Notified when an action is added.
    actions_added: LocalNotify,
    server: RefCell<Option<Arc<str>>>,
    connections: Cell<u64>,
    traffic: Cell<Traffic>,
    /// Whether the last attempt to connect failed. Only the first failure in a row is logged.
    connect_failed: Cell<bool>,
}

/// The relay's state machine with its connections.
struct RelayDriver {
    relay: RefCell<Relay>,
    sessions: RefCell<Sessions>,
    upstream: Upstream,
    ticker: Ticker,
    log: Logger,
}

impl RelayDriver {
    fn new(settings: RelayNodeSettings, key: &FrameKey, log: &Logger) -> RelayDriver {
        let clock = Clock::start();
        let follower = FollowerSettings::new(settings.member, settings.servers, settings.seed);
        let fanout = FanoutSettings { seed: settings.seed, ..FanoutSettings::default() };
        let relay = Relay::new(RelaySettings::new(follower, fanout), clock.now());
        RelayDriver {
            relay: RefCell::new(relay),
            sessions: RefCell::new(Sessions::new(key.clone(), log.clone())),
            upstream: Upstream::default(),
            ticker: Ticker::new(clock),
            log: log.clone(),
        }
    }

    fn on_event(&self, event: RelayEvent) {
        let now = self.ticker.clock.now();
        let mut events = vec![event];
        let (mut actions, mut session_events) = (Vec::new(), Vec::new());
        while !events.is_empty() {
            for event in events.drain(..) {
                self.relay.borrow_mut().on_event(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                match action {
                    RelayAction::Upstream(action) => {
                        self.upstream.actions.borrow_mut().push_back(action);
                        self.upstream.actions_added.notify();
                    }
                    RelayAction::Downstream(action) => {
                        self.sessions.borrow_mut().carry_out(now, action, &mut session_events);
                    }
                }
            }
            events.extend(session_events.drain(..).map(RelayEvent::Downstream));
        }
        self.ticker.set(self.deadline());
    }

    /// Runs the connection to the upstream server. Never returns.
    async fn follow<T>(&self, mut link: Link) -> T {
        let mut yield_budget = YieldBudget::default();
        loop {
            yield_budget.step().await;
            self.apply_actions(&mut link);
            self.upstream.traffic.set(link.traffic());
            let action_added = async {
                self.upstream.actions_added.wait().await;
                None
            };
            let received = async { Some(link.next().await) };
            if let Some(event) = or(action_added, received).await {
                let event = self.follower_event(event);
                self.on_event(RelayEvent::Upstream(event));
            }
        }
    }

    fn apply_actions(&self, link: &mut Link) {
        for action in self.upstream.actions.borrow_mut().drain(..) {
            match action {
                LinkAction::Connect(server) => {
                    link.connect(&server);
                    self.upstream.server.replace(Some(server.name));
                }
                LinkAction::Send(message) => link.send(&message),
                LinkAction::Disconnect(reason) => {
                    info!(self.log, "upstream disconnected";
                        "component" => "config_sync", "reason" => %reason);
                    link.disconnect();
                    self.upstream.server.replace(None);
                }
            }
        }
    }

    /// Logs a link event and converts it to an event of the state machine.
    fn follower_event(&self, event: LinkEvent) -> FollowerEvent {
        let upstream = &self.upstream;
        match event {
            LinkEvent::Connected => {
                upstream.connect_failed.set(false);
                upstream.connections.set(upstream.connections.get() + 1);
                FollowerEvent::Connected
            }
            LinkEvent::ConnectFailed(error) => {
                if !upstream.connect_failed.replace(true) {
                    info!(self.log, "upstream connection failed";
                        "component" => "config_sync", "error" => %error);
                }
                FollowerEvent::ConnectFailed
            }
            LinkEvent::Received(message) => FollowerEvent::Received(message),
            LinkEvent::Disconnected(error) => {
                if error.is_bad_frame() {
                    warn!(self.log, "upstream connection closed on error";
                        "component" => "config_sync", "error" => %error);
                } else {
                    info!(self.log, "upstream connection lost";
                        "component" => "config_sync", "error" => %error);
                }
                upstream.server.replace(None);
                FollowerEvent::Disconnected
            }
        }
    }

    fn status(&self) -> NodeStatus {
        let relay = self.relay.borrow();
        let traffic = self.upstream.traffic.get();
        NodeStatus {
            upstream_connections: self.upstream.connections.get(),
            upstream_bytes_in: traffic.bytes_in,
            upstream_bytes_out: traffic.bytes_out,
            upstream_frames: traffic.frames,
            upstream: self.upstream.server.borrow().clone(),
            age_ms: relay.follower().age_ms(self.ticker.clock.now()),
            ..NodeStatus::of_fanout(relay.fanout(), &self.sessions.borrow())
        }
    }
}

impl Node for RelayDriver {
    fn sessions(&self) -> &RefCell<Sessions> {
        &self.sessions
    }

    fn ticker(&self) -> &Ticker {
        &self.ticker
    }

    fn deadline(&self) -> Millis {
        self.relay.borrow().deadline()
    }

    fn on_tick(&self) {
        self.on_event(RelayEvent::Tick);
    }

    fn on_session_event(&self, event: FanoutEvent) {
        self.on_event(RelayEvent::Downstream(event));
    }
}
