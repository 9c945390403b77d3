//! A relay as a process: it follows a server and serves others.

use super::clock::Clock;
use super::link::{Link, LinkEvent, Traffic};
use super::node::{Node, NodeStatus, Ticker, accept, tick};
use super::notify::LocalNotify;
use super::sessions::Sessions;
use super::settings::{check_member, frame_key};
use super::socket::Turn;
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

/// Questions that wait for the relay's thread.
const MAX_QUESTIONS: usize = 64;

/// How a relay is set up.
#[derive(Clone, Debug)]
pub struct RelayNodeSettings {
    /// Who it is; [`crate::message::Role::Relay`].
    pub member: Member,
    /// Where it listens; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Whom it may watch, in any order: the publisher for a region's relay, its region's relays for a zone's.
    pub servers: Vec<Server>,
    /// The fleet's key for the tags of frames, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Seed of the jitter.
    pub seed: u64,
}

/// A running relay. Dropping it ends its thread. It keeps nothing on disk.
pub struct RelayNode {
    address: SocketAddr,
    questions: Sender<Sender<NodeStatus>>,
    thread: Option<JoinHandle<()>>,
}

impl RelayNode {
    /// Listens and follows, on a thread of its own.
    ///
    /// # Errors
    /// If the settings are not right, the address can't be listened on or there can be no thread.
    pub fn start(settings: RelayNodeSettings, log: Logger) -> io::Result<RelayNode> {
        let key = frame_key(&settings.fleet_key)?;
        check_member(&settings.member)?;
        let listener = Async::new(dunlinspread_sockets::listen(settings.listen)?)?;
        let address = listener.get_ref().local_addr()?;
        let (questions, inbox) = bounded(MAX_QUESTIONS);
        let thread = std::thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || run(settings, &key, &listener, &inbox, &log))?;
        Ok(RelayNode { address, questions, thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it serves.
    pub fn head(&self) -> Position {
        self.status().head
    }

    /// How far the zones below it have come.
    pub fn progress(&self) -> Vec<ZoneProgress> {
        self.status().zones
    }

    /// How it is doing; all zero once it has ended.
    pub fn status(&self) -> NodeStatus {
        let (reply, answer) = bounded(1);
        let asked = self.questions.send_blocking(reply).is_ok();
        if asked { answer.recv_blocking().unwrap_or_default() } else { NodeStatus::default() }
    }
}

impl Drop for RelayNode {
    fn drop(&mut self) {
        self.questions.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    settings: RelayNodeSettings,
    key: &FrameKey,
    listener: &Async<TcpListener>,
    questions: &Receiver<Sender<NodeStatus>>,
    log: &Logger,
) {
    let driver = Rc::new(RelayDriver::new(settings, key, log));
    let executor = LocalExecutor::new();
    let answer = async {
        while let Ok(reply) = questions.recv().await {
            // Who asked may have gone meanwhile.
            let _ = reply.try_send(driver.status());
        }
    };
    let serve = or(accept(listener, &driver, &executor, key, log), tick(&*driver));
    block_on(executor.run(or(answer, or(driver.follow(Link::new(key.clone())), serve))));
}

/// What is known of the connection to the server above.
#[derive(Default)]
struct Upstream {
    actions: RefCell<VecDeque<LinkAction>>,
    changed: LocalNotify,
    server: RefCell<Option<Arc<str>>>,
    connections: Cell<u64>,
    traffic: Cell<Traffic>,
    /// A failure to connect is news once.
    connect_failed: Cell<bool>,
}

/// The relay with its connections.
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
                        self.upstream.changed.notify();
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

    /// Owns the connection to the server above, for ever.
    async fn follow<T>(&self, mut link: Link) -> T {
        let mut turn = Turn::default();
        loop {
            turn.step().await;
            self.apply_actions(&mut link);
            self.upstream.traffic.set(link.traffic());
            let asked = async {
                self.upstream.changed.wait().await;
                None
            };
            let received = async { Some(link.next().await) };
            if let Some(event) = or(asked, received).await {
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

    /// Logs what the link says and hands it on.
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
