//! The list of connections: accepts them, keeps their number within its part of the descriptors, and closes idle
//! ones. It must never read what a connection carries.

use super::connection_state::{CROSSING_MS, Wish};
use super::{COMPLAIN_MS, Connection, FULL_MS, MAILBOX, Shared};
use crate::server::messages::ListenerMessage;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::StreamExt;
use futures_lite::future::or;
use slog::{info, warn};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// How often the list looks for idle connections, ms.
const SWEEP_MS: f64 = 25.0;
/// How late the list may be in looking, ms, before the time counts as one in which the program itself stood still.
const STOOD_STILL_MS: f64 = 500.0;
/// The part of the connections, as a divisor, that is kept free by closing idle ones.
const FREE_PART: usize = 8;

/// The list of connections: accepts them and closes idle ones.
pub struct Listener {
    /// What the connections share.
    pub shared: Rc<Shared>,
    /// Where they come from.
    pub listener: Async<TcpListener>,
    /// The list's own mailbox.
    pub own: Sender<ListenerMessage>,
    /// Runs the connections' actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connections at most.
    pub most: usize,
}

enum Next {
    Connected(std::io::Result<TcpStream>),
    Told(Option<ListenerMessage>),
    Sweep,
}

/// The connections there are, each with its actor.
struct Connections {
    shared: Rc<Shared>,
    own: Sender<ListenerMessage>,
    executor: Rc<LocalExecutor<'static>>,
    most: usize,
    last: u64,
    all: HashMap<u64, (Rc<Connection>, Task<()>)>,
    complained: f64,
}

impl Listener {
    /// Serves until the program leaves and every connection has ended.
    pub async fn run(self, inbox: Receiver<ListenerMessage>) {
        let Listener { shared, listener, own, executor, most } = self;
        let mut connections = Connections {
            shared: shared.clone(),
            own,
            executor,
            most,
            last: 0,
            all: HashMap::new(),
            complained: f64::NEG_INFINITY,
        };
        let (mut idle_limit, mut finish_at) = (f64::INFINITY, None);
        let (mut listener, mut paused_until) = (Some(listener), 0.0);
        let mut inbox = pin!(inbox);
        let (mut sweep, mut looked) = (shared.wheel.sleep(SWEEP_MS), shared.clock.now());
        loop {
            let now = shared.clock.now();
            // Waiting callers stay in the system's queue until there is room.
            let room = connections.all.len() < most && now >= paused_until;
            let accepting = async {
                match &listener {
                    Some(listener) if room => {
                        let accepted = listener.accept().await;
                        Next::Connected(accepted.and_then(|(stream, _)| stream.into_inner()))
                    }
                    _ => futures_lite::future::pending().await,
                }
            };
            let told = async { Next::Told(inbox.next().await) };
            let swept = async {
                (&mut sweep).await;
                Next::Sweep
            };
            let next = or(told, or(swept, accepting)).await;
            let now = shared.clock.now();
            // Whatever woke the list first, time that the program did not get is made good before anyone is
            // closed; what callers sent meanwhile is read before further ones are taken.
            let lost = now - looked - SWEEP_MS;
            if lost > STOOD_STILL_MS {
                warn!(shared.log, "the program stood still"; "ms" => lost.round());
                connections.all.values().for_each(|(c, _)| c.life.borrow_mut().forgive(lost));
                (looked, paused_until) = (now, now + FULL_MS);
            }
            match next {
                Next::Connected(Ok(stream)) => connections.admit(now, stream, now >= paused_until),
                Next::Connected(Err(e)) => {
                    // Out of descriptors, or a connection that was reset before it was taken: accepting pauses.
                    paused_until = now + FULL_MS;
                    if connections.may_complain(now) {
                        warn!(shared.log, "accepting paused";
                            "why" => e.to_string(), "open" => connections.all.len());
                    }
                }
                Next::Told(None) => return,
                Next::Told(Some(ListenerMessage::SetIdleTimeout(ms))) => idle_limit = ms,
                Next::Told(Some(ListenerMessage::ConnectionClosed(number))) => {
                    drop(connections.all.remove(&number))
                }
                Next::Told(Some(ListenerMessage::Shutdown { finish_at: at })) => {
                    finish_at = Some(at);
                    // What stands in the system's queue is connected, as its callers see it, and may have sent its
                    // request: a door shut over it would lose that.
                    if let Some(door) = listener.take() {
                        while let Ok((stream, _)) = door.get_ref().accept() {
                            connections.admit(now, stream, false);
                        }
                    }
                    info!(shared.log, "closing connections"; "open" => connections.all.len());
                }
                Next::Sweep => {
                    sweep = shared.wheel.sleep(SWEEP_MS);
                    looked = now;
                    let ending = finish_at.is_some_and(|at| now >= at);
                    connections.look(now, Wish { idle_limit, leaving: finish_at.is_some(), ending });
                }
            }
            if finish_at.is_some() && connections.all.is_empty() {
                return;
            }
        }
    }
}

impl Connections {
    /// Takes a connection, and makes room for the next one where there is little.
    fn admit(&mut self, now: f64, stream: TcpStream, evicting: bool) {
        let Ok(stream) = Async::new(stream) else { return };
        self.last += 1;
        let (mailbox, letters) = async_channel::bounded(MAILBOX);
        let connection = Rc::new(Connection::new(now, mailbox));
        let (own, number, shared, with) =
            (self.own.clone(), self.last, self.shared.clone(), connection.clone());
        let actor = async move {
            with.serve(&shared, stream, letters).await;
            // The mailbox closes only when the program ends.
            let _ = own.send(ListenerMessage::ConnectionClosed(number)).await;
        };
        self.all.insert(number, (connection, self.executor.spawn(actor)));
        if !self.tight() {
            return;
        }
        if evicting {
            self.make_room(now);
        }
        if self.may_complain(now) {
            warn!(self.shared.log, "connections are tight"; "open" => self.all.len(), "most" => self.most);
        }
    }

    fn tight(&self) -> bool {
        self.all.len() > self.untight()
    }

    /// Connections up to which there is room enough.
    fn untight(&self) -> usize {
        self.most - self.most / FREE_PART
    }

    fn may_complain(&mut self, now: f64) -> bool {
        let may = now - self.complained > COMPLAIN_MS;
        if may {
            self.complained = now;
        }
        may
    }

    /// Looks at each; where room is short, those of which only the end is awaited go sooner.
    fn look(&mut self, now: f64, wish: Wish) {
        if self.tight() {
            self.all.retain(|_, (c, _)| {
                let since = c.life.borrow().finishing_since();
                !(c.lingers.get() && since.is_some_and(|since| now - since >= CROSSING_MS))
            });
            let ending = self.all.values().filter(|(c, _)| !c.life.borrow().takes()).count();
            for _ in self.untight()..self.all.len() - ending {
                self.make_room(now);
            }
        }
        self.all.values().for_each(|(c, _)| c.look(now, wish));
    }

    /// Closes the idle connection that is missed least: one that never sent a request, else the one idle longest. It
    /// guards against callers that open connections by the hundred, or ask once and stay, and so keep the others out.
    fn make_room(&self, now: f64) {
        let missed = |(c, _): &'_ (Rc<Connection>, Task<()>)| c.life.borrow().missed(now, c.owed());
        let idle = self.all.values().filter_map(|c| missed(c).map(|missed| (missed, &c.0)));
        let order = |a: &(bool, f64), b: &(bool, f64)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
        if let Some((_, connection)) = idle.min_by(|a, b| order(&a.0, &b.0)) {
            connection.evict(now);
        }
    }
}
