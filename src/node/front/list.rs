//! The list of connections: accepts them, keeps their number within its part of the descriptors, and closes idle
//! ones. It must never read what a connection carries.

use super::{COMPLAIN_MS, Connection, FULL_MS, MAILBOX, Shared};
use crate::node::messages::{ToCaller, ToList};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::StreamExt;
use futures_lite::future::or;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// How often the list looks for idle connections, ms.
const SWEEP_MS: f64 = 25.0;
/// How late the list may be in looking, ms, before the time counts as one in which the program itself stood still.
const STOOD_STILL_MS: f64 = 500.0;
/// How long a new connection counts as one that is about to send, when room is needed, ms.
const NEW_MS: f64 = 50.0;
/// The part of the connections, as a divisor, that is kept free by closing idle ones.
const FREE_PART: usize = 8;

/// The list of connections: accepts them and closes idle ones.
pub struct List {
    /// What the connections share.
    pub shared: Rc<Shared>,
    /// Where they come from.
    pub listener: Async<TcpListener>,
    /// The list's own mailbox.
    pub own: Sender<ToList>,
    /// Runs the connections' actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connections at most.
    pub most: usize,
}

enum Next {
    Connected(std::io::Result<TcpStream>),
    Told(Option<ToList>),
    Sweep,
}

impl List {
    /// Serves until the program leaves and every connection has ended.
    pub async fn run(self, inbox: Receiver<ToList>) {
        let List { shared, listener, own, executor, most } = self;
        let mut connections: HashMap<u64, Rc<Connection>> = HashMap::new();
        let (mut idle_limit, mut last, mut leaving) = (f64::INFINITY, 0u64, false);
        let (mut listener, mut paused_until, mut complained) = (Some(listener), 0.0, f64::NEG_INFINITY);
        let mut inbox = pin!(inbox);
        let (mut sweep, mut looked) = (shared.wheel.sleep(SWEEP_MS), shared.clock.now());
        loop {
            let now = shared.clock.now();
            // Waiting callers stay in the system's queue until there is room.
            let room = connections.len() < most && now >= paused_until;
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
                connections.values().for_each(|c| c.forgive(lost));
                (looked, paused_until) = (now, now + FULL_MS);
            }
            match next {
                Next::Connected(Ok(stream)) => {
                    let Ok(stream) = Async::new(stream) else { continue };
                    last += 1;
                    let (mailbox, letters) = async_channel::bounded(MAILBOX);
                    let connection = Rc::new(Connection {
                        mailbox,
                        since: Cell::new(now),
                        spoke: Cell::new(false),
                        half: Cell::new(None),
                        used: Cell::new(now),
                        open: RefCell::default(),
                        left: Cell::new(None),
                    });
                    connections.insert(last, connection.clone());
                    let (own, number, with) = (own.clone(), last, shared.clone());
                    let actor = async move {
                        connection.serve(&with, stream, letters).await;
                        // The mailbox closes only when the program ends.
                        let _ = own.send(ToList::Ended(number)).await;
                    };
                    executor.spawn(actor).detach();
                    let tight = connections.len() > most - most / FREE_PART;
                    if tight && now >= paused_until {
                        make_room(&connections, now);
                    }
                    if tight && now - complained > COMPLAIN_MS {
                        complained = now;
                        warn!(shared.log, "connections are tight"; "open" => connections.len(), "most" => most);
                    }
                }
                Next::Connected(Err(e)) => {
                    // Out of descriptors, or a connection that was reset before it was taken: accepting pauses.
                    paused_until = now + FULL_MS;
                    if now - complained > COMPLAIN_MS {
                        complained = now;
                        warn!(shared.log, "accepting paused"; "why" => e.to_string(), "open" => connections.len());
                    }
                }
                Next::Told(None) => return,
                Next::Told(Some(ToList::IdleLimit(ms))) => idle_limit = ms,
                Next::Told(Some(ToList::Ended(number))) => drop(connections.remove(&number)),
                Next::Told(Some(ToList::Leave)) => {
                    info!(shared.log, "closing connections"; "open" => connections.len());
                    leaving = true;
                    listener = None;
                }
                Next::Sweep => {
                    sweep = shared.wheel.sleep(SWEEP_MS);
                    looked = now;
                    for connection in connections.values() {
                        connection.look(now, if leaving { f64::NEG_INFINITY } else { idle_limit });
                    }
                }
            }
            if leaving && connections.is_empty() {
                return;
            }
        }
    }
}

/// Closes the idle connection that is missed least: one that never sent a request, else the one idle longest. It
/// guards against callers that open connections by the hundred, or ask once and stay, and so keep the others out.
fn make_room(connections: &HashMap<u64, Rc<Connection>>, now: f64) {
    let idle = connections.values().filter(|c| c.open.borrow().is_empty() && !c.mailbox.is_closed());
    let useful = |c: &Connection| c.spoke.get() || now - c.since.get() < NEW_MS;
    let order = |a: &&Rc<Connection>, b: &&Rc<Connection>| {
        useful(a).cmp(&useful(b)).then(a.used.get().total_cmp(&b.used.get()))
    };
    if let Some(connection) = idle.min_by(order) {
        // A request that crosses this is sent again by its caller.
        let _ = connection.mailbox.try_send(ToCaller::Leave);
        connection.mailbox.close();
    }
}
