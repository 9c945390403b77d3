//! The front that client proxies see: MessagePack-RPC. The list's actor accepts connections, keeps their number
//! within its part of the descriptors, and closes idle ones; each connection has an actor of its own that turns
//! bytes into the core's messages and its answers into bytes. It must never decide about a request, never answer
//! one by itself, and never let one connection's faults or slowness reach another.

pub mod connection_state;
mod listener;
mod name_table;
mod request_decoder;
mod response_encoder;

pub use listener::Listener;
pub use name_table::NameTable;

use crate::admission::{Class, RequestId};
use crate::codec::msgpack::{self, Value};
use crate::server::distributed_config::Distributed;
use crate::server::messages::{ConnectionMessage, DispatcherMessage, ReplyHandle};
use crate::server::supervisor::catch_panic;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::{Receiver, Sender};
use async_io::Async;
use connection_state::{LINGER_MS, Life, Step, Wish};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, error, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

/// Requests open on one connection, past which further ones get an error: the protocol allows half as many.
const MAX_OPEN: usize = 64;
/// Answers that wait for one connection's writer, past which it ends.
const MAILBOX: usize = 2 * MAX_OPEN;
/// Messages taken from one connection before the other actors have a turn.
const YIELD_AFTER: u64 = 32;
/// A connection that takes no bytes for this long ends, ms: longer than a hall is ever cut off.
const STALLED_MS: f64 = 30_000.0;
/// Bytes read and written at once, and what a writer's buffer keeps at most between answers.
const CHUNK: usize = 4 * 1024;
const WRITTEN: usize = 16 * 1024;
/// Pause in accepting when descriptors run out, ms.
const FULL_MS: f64 = 50.0;
/// What is read unheard at most after the end of a connection, in bytes.
const LINGER_BYTES: usize = 64 * 1024;
/// The least time between two log lines of one kind, ms, and the most lines about faulty connections in that time.
const COMPLAIN_MS: f64 = 1000.0;
const MAX_COMPLAINTS: u32 = 20;

/// What all connections share.
pub struct Shared {
    /// The settings of the classes, in order.
    pub classes: Vec<Class>,
    /// The classes by their names.
    pub class_names: Arc<NameTable>,
    /// The tenants by their names; empty at a site that has none.
    pub tenants: Arc<NameTable>,
    /// What is distributed beside them, if anything is.
    pub distributed: Option<Rc<Distributed>>,
    /// Each request tells how long its caller waits.
    pub passes_deadline: bool,
    /// The clock.
    pub clock: Clock,
    /// Timers.
    pub wheel: Rc<TimerWheel>,
    /// The core's mailbox.
    pub core: Sender<DispatcherMessage>,
    /// The log.
    pub log: Logger,
    /// Requests name the account that they are billed to.
    pub accounts: bool,
    /// The number of the last request read on any connection.
    pub last_id: Cell<RequestId>,
    /// Since when lines about faulty connections are counted, and how many there were.
    pub complaints: Cell<(f64, u32)>,
}

/// What a request's method stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// A class, by position.
    Class(usize),
    /// A route that leads to the class at that position.
    Route(usize),
}

impl Method {
    fn class(self) -> usize {
        match self {
            Method::Class(class) | Method::Route(class) => class,
        }
    }
}

impl Shared {
    fn method(&self, name: &[u8]) -> Option<Method> {
        if let Some(class) = self.class_names.position(name) {
            return Some(Method::Class(class));
        }
        self.distributed.as_ref()?.route(name).map(Method::Route)
    }

    /// The tenant of a request that names `org`, by position. One that is not listed has no share by which its traffic
    /// could be judged.
    fn tenant(&self, org: Option<&str>) -> Option<usize> {
        if let Some(distributed) = &self.distributed {
            return distributed.tenant(org);
        }
        if self.tenants.is_empty() { Some(0) } else { self.tenants.position(org?.as_bytes()) }
    }

    fn complain(&self, why: &str) {
        let (now, (since, count)) = (self.clock.now(), self.complaints.get());
        let (since, count) = if now - since > COMPLAIN_MS { (now, 0) } else { (since, count) };
        self.complaints.set((since, count + 1));
        if count < MAX_COMPLAINTS {
            warn!(self.log, "connection ended for a fault"; "why" => why);
        }
    }
}

/// What the list and a connection's actor both see of it.
struct Connection {
    mailbox: Sender<ConnectionMessage>,
    life: RefCell<Life>,
    /// Open requests: the message id, and the core's number.
    open: RefCell<HashMap<u64, RequestId>>,
    /// Answers beside those that are owed: to health checks, and to what is no proper request.
    others: Cell<usize>,
    /// All is settled, and only its end is awaited: it may be dropped.
    lingers: Cell<bool>,
}

/// How a connection comes to its end.
enum Over {
    /// The caller ended it, or it broke.
    Away,
    /// What the caller sent, or its time, put an end to it.
    Fault(String),
    /// All answers are out, and there will be no more.
    Written,
}

impl Connection {
    fn new(now: f64, mailbox: Sender<ConnectionMessage>) -> Connection {
        Connection {
            mailbox,
            life: RefCell::new(Life::new(now)),
            open: RefCell::default(),
            others: Cell::new(0),
            lingers: Cell::new(false),
        }
    }

    /// An answer is still to come.
    fn owed(&self) -> bool {
        !self.open.borrow().is_empty() || self.others.get() > 0
    }

    /// Tells an idle caller to leave, and ends the connection if it does not.
    fn look(&self, now: f64, wish: Wish) {
        let step = self.life.borrow_mut().look(now, self.owed(), wish);
        match step {
            Step::Stay => {}
            Step::Tell => self.tell(),
            Step::Finish => drop(self.mailbox.close()),
        }
    }

    fn tell(&self) {
        if self.mailbox.try_send(ConnectionMessage::Shutdown).is_err() {
            self.mailbox.close();
        }
    }

    /// Makes room at once: a request that crosses this is not taken, and is sent again by its caller.
    fn evict(&self, now: f64) {
        self.tell();
        self.life.borrow_mut().finish(now);
        self.mailbox.close();
    }

    async fn serve(&self, shared: &Shared, stream: Async<TcpStream>, letters: Receiver<ConnectionMessage>) {
        let _ = stream.get_ref().set_nodelay(true);
        let wrote = Cell::new(false);
        let mut writer = pin!(async {
            let over = self.write(shared, &stream, letters).await;
            wrote.set(true);
            over
        });
        let over = catch_panic(or(self.read(shared, &stream), writer.as_mut())).await;
        self.life.borrow_mut().finish(shared.clock.now());
        self.mailbox.close();
        let open: Vec<RequestId> = self.open.borrow_mut().drain().map(|(_, id)| id).collect();
        for id in open {
            // The core's mailbox closes only when the program ends.
            let _ = shared.core.send(DispatcherMessage::ClientGone(id)).await;
        }
        match &over {
            Ok(Over::Away | Over::Written) => {}
            Ok(Over::Fault(why)) => shared.complain(why),
            // A fault of ours, in this connection's own actor: it costs this caller its connection and nobody else
            // anything.
            Err(panic) => return error!(shared.log, "connection task panicked"; "error" => %panic),
        }
        // What was answered before still goes out.
        let written = match over {
            Ok(Over::Written) => true,
            _ if wrote.get() => false,
            _ => {
                let written = async { matches!(writer.await, Over::Written) };
                let late = async {
                    shared.wheel.sleep(FULL_MS).await;
                    false
                };
                or(written, late).await
            }
        };
        if written {
            self.linger(shared, &stream).await;
        }
    }

    /// Reads on to the end of what the caller sends, unheard and within bounds.
    async fn linger(&self, shared: &Shared, mut stream: &Async<TcpStream>) {
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        self.lingers.set(true);
        let reading = async {
            let (mut bytes, mut left) = (vec![0; CHUNK], LINGER_BYTES);
            while left > 0 {
                match stream.read(&mut bytes).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => left = left.saturating_sub(n),
                }
            }
            // One that never stops sending gets no more than the time to read its answer.
            shared.wheel.sleep(FULL_MS).await;
        };
        or(reading, shared.wheel.sleep(LINGER_MS)).await;
    }

    /// Reads until the connection is over; what comes once it finishes is not heard.
    async fn read(&self, shared: &Shared, stream: &Async<TcpStream>) -> Over {
        match self.read_messages(shared, stream).await {
            Ok(()) => Over::Away,
            Err(why) => Over::Fault(why),
        }
    }

    async fn read_messages(&self, shared: &Shared, mut stream: &Async<TcpStream>) -> Result<(), String> {
        let (mut decoder, mut bytes, mut taken) = (msgpack::Decoder::default(), vec![0; CHUNK], 0u64);
        loop {
            match stream.read(&mut bytes).await {
                // An end or a reset is the caller's own affair.
                Ok(0) | Err(_) => return Ok(()),
                Ok(_) if !self.life.borrow().takes() => continue,
                Ok(n) => decoder.feed(&bytes[..n]),
            }
            self.life.borrow_mut().used(shared.clock.now());
            let before = taken;
            loop {
                match decoder.next_message() {
                    Ok(Some(message)) => {
                        if let Some(distributed) = &shared.distributed {
                            distributed.may_look_up(&shared.wheel).await;
                        }
                        // It finishes, and was told so, or its time is up: what crosses that was never taken.
                        if !self.life.borrow().takes() {
                            break;
                        }
                        // The core closes the mailbox of a caller that reads no answers; the writer may be stuck.
                        if self.mailbox.is_closed() {
                            return Err("reads no answers".to_owned());
                        }
                        self.take(shared, message).await?;
                        taken += 1;
                        if taken % YIELD_AFTER == 0 {
                            // A burst may not fill the mailbox before the writer has had a turn.
                            futures_lite::future::yield_now().await;
                        }
                    }
                    Ok(None) => {
                        self.life.borrow_mut().read(!decoder.is_empty(), taken != before);
                        break;
                    }
                    Err(e) => {
                        if let Some(tag) = decoder.request_id() {
                            self.invalid(shared, tag).await;
                            // The answer has to go out before the connection ends.
                            shared.wheel.sleep(FULL_MS).await;
                        }
                        return Err(e.to_string());
                    }
                }
            }
        }
    }

    async fn invalid(&self, shared: &Shared, tag: u64) {
        self.others.set(self.others.get() + 1);
        let _ = shared.core.send(DispatcherMessage::InvalidRequest(self.handle(tag))).await;
    }

    fn handle(&self, tag: u64) -> ReplyHandle {
        ReplyHandle { mailbox: self.mailbox.clone(), tag }
    }

    async fn take(&self, shared: &Shared, message: Value) -> Result<(), String> {
        let Value::Array(parts) = message else { return Err("a message is no array".to_owned()) };
        match &parts[..] {
            [Value::Uint(0), Value::Uint(tag), rest @ ..] => {
                if self.open.borrow().contains_key(tag) {
                    return Err("a message id is used twice at once".to_owned());
                }
                self.request(shared, *tag, rest).await;
                Ok(())
            }
            [Value::Uint(2), Value::Str(method), Value::Array(args)] => {
                if method == b"forget" {
                    for arg in args {
                        let Value::Uint(tag) = arg else { continue };
                        let id = self.open.borrow_mut().remove(tag);
                        if let Some(id) = id {
                            let _ = shared.core.send(DispatcherMessage::ClientGone(id)).await;
                        }
                    }
                }
                Ok(())
            }
            _ => Err("a message is neither request nor notification".to_owned()),
        }
    }

    async fn request(&self, shared: &Shared, tag: u64, rest: &[Value]) {
        self.life.borrow_mut().spoke();
        let message = match rest {
            [Value::Str(method), Value::Array(_)] if method == b"isWell" => {
                self.others.set(self.others.get() + 1);
                DispatcherMessage::HealthCheck(self.handle(tag))
            }
            [Value::Str(method), Value::Array(args)] => match self.incoming(shared, tag, method, args) {
                Some(incoming) => {
                    self.open.borrow_mut().insert(tag, incoming.id);
                    DispatcherMessage::Request(Box::new(incoming))
                }
                None => return self.invalid(shared, tag).await,
            },
            _ => return self.invalid(shared, tag).await,
        };
        let _pass = shared.distributed.as_ref().map(|distributed| distributed.pass());
        let _ = shared.core.send(message).await;
    }

    /// Writes answers until the mailbox closes and is empty.
    async fn write(
        &self,
        shared: &Shared,
        mut stream: &Async<TcpStream>,
        letters: Receiver<ConnectionMessage>,
    ) -> Over {
        let mut letters = pin!(letters);
        let mut out = Vec::new();
        while let Some(letter) = letters.next().await {
            out.clear();
            out.shrink_to(WRITTEN);
            let mut next = Some(letter);
            while let Some(letter) = next {
                self.put(letter, &mut out);
                next = if out.len() < WRITTEN { letters.try_recv().ok() } else { None };
            }
            self.life.borrow_mut().used(shared.clock.now());
            let stalled = async {
                shared.wheel.sleep(STALLED_MS).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match or(stream.write_all(&out), stalled).await {
                Ok(()) => {}
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                    return Over::Fault("takes no bytes".to_owned());
                }
                Err(_) => return Over::Away,
            }
        }
        Over::Written
    }
}
