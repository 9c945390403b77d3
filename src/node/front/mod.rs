//! The front that client proxies see: MessagePack-RPC. The list's actor accepts connections, keeps their number
//! within its part of the descriptors, and closes idle ones; each connection has an actor of its own that turns
//! bytes into the core's messages and its answers into bytes. It must never decide about a request, never answer
//! one by itself, and never let one connection's faults or slowness reach another.

mod answer;
mod list;
mod request;

pub use list::List;

use super::messages::{Handle, ToCaller, ToCore};
use super::wheel::{Clock, Wheel};
use crate::codec::msgpack::{self, Value};
use crate::interface::{Class, RequestId};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;

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
/// How long a connection may take to its first whole request, and a message from its first byte to its last, ms. The
/// platform allows three seconds in all; a caller that means well sends within a round trip.
const WHOLE_MS: f64 = 2000.0;
/// How long a caller has to close a connection after `shutdown`, before it is closed here, ms.
const LEAVE_MS: f64 = 1000.0;
/// Pause in accepting when descriptors run out, ms.
const FULL_MS: f64 = 50.0;
/// The least time between two log lines of one kind, ms, and the most lines about faulty connections in that time.
const COMPLAIN_MS: f64 = 1000.0;
const MAX_COMPLAINTS: u32 = 20;

/// What all connections share.
pub struct Shared {
    /// The names and settings of the classes, in order.
    pub classes: Vec<(String, Class)>,
    /// The names of the tenants, in order; empty at a site that has none.
    pub tenants: Vec<String>,
    /// Each request tells how long its caller waits.
    pub passes_deadline: bool,
    /// The clock.
    pub clock: Clock,
    /// Timers.
    pub wheel: Rc<Wheel>,
    /// The core's mailbox.
    pub core: Sender<ToCore>,
    /// The log.
    pub log: Logger,
    /// Requests name the account that they are billed to.
    pub accounts: bool,
    /// The number of the last request read on any connection.
    pub last_id: Cell<RequestId>,
    /// Since when lines about faulty connections are counted, and how many there were.
    pub complaints: Cell<(f64, u32)>,
}

impl Shared {
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
    mailbox: Sender<ToCaller>,
    /// When it was accepted, and whether it has sent anything that is answered.
    since: Cell<f64>,
    spoke: Cell<bool>,
    /// Since when a message is there in part.
    half: Cell<Option<f64>>,
    /// When it last carried something.
    used: Cell<f64>,
    /// Open requests: the message id, and the core's number.
    open: RefCell<HashMap<u64, RequestId>>,
    /// When it was told to leave.
    left: Cell<Option<f64>>,
}

impl Connection {
    /// What callers sent while the program got no time waits unread: that silence was not theirs.
    fn forgive(&self, lost: f64) {
        self.since.set(self.since.get() + lost);
        self.used.set(self.used.get() + lost);
        self.half.set(self.half.get().map(|since| since + lost));
    }

    /// Tells an idle caller to leave, and ends the connection if it does not.
    fn look(&self, now: f64, idle_limit: f64) {
        // Silence and half messages cost a descriptor and a buffer, and would keep others out: they end in time.
        let silent = !self.spoke.get() && now - self.since.get() >= WHOLE_MS;
        if silent || self.half.get().is_some_and(|since| now - since >= WHOLE_MS) {
            self.mailbox.close();
            return;
        }
        let open = !self.open.borrow().is_empty();
        match self.left.get() {
            None if idle_limit < 0.0 || !open && now - self.used.get() >= idle_limit => {
                self.left.set(Some(now));
                if self.mailbox.try_send(ToCaller::Leave).is_err() {
                    self.mailbox.close();
                }
            }
            Some(_) if open => self.left.set(Some(now)),
            Some(since) if now - since.max(self.used.get()) >= LEAVE_MS => drop(self.mailbox.close()),
            _ => {}
        }
    }

    async fn serve(&self, shared: &Shared, stream: Async<TcpStream>, letters: Receiver<ToCaller>) {
        let _ = stream.get_ref().set_nodelay(true);
        let fault = or(self.read(shared, &stream), self.write(shared, &stream, letters)).await;
        if let Err(why) = fault {
            shared.complain(&why);
        }
        self.mailbox.close();
        let open: Vec<RequestId> = self.open.borrow_mut().drain().map(|(_, id)| id).collect();
        for id in open {
            // The core's mailbox closes only when the program ends.
            let _ = shared.core.send(ToCore::Gone(id)).await;
        }
    }

    async fn read(&self, shared: &Shared, mut stream: &Async<TcpStream>) -> Result<(), String> {
        let (mut decoder, mut bytes, mut taken) = (msgpack::Decoder::default(), vec![0; CHUNK], 0u64);
        loop {
            match stream.read(&mut bytes).await {
                // An end or a reset is the caller's own affair.
                Ok(0) | Err(_) => return Ok(()),
                Ok(n) => decoder.feed(&bytes[..n]),
            }
            self.used.set(shared.clock.now());
            let before = taken;
            loop {
                match decoder.next_message() {
                    Ok(Some(message)) => {
                        // The core closes the mailbox of a caller that reads no answers, the list that of one
                        // whose time is up; the writer may be stuck.
                        if self.mailbox.is_closed() {
                            return Err("reads no answers, or out of time".to_owned());
                        }
                        self.take(shared, message).await?;
                        taken += 1;
                        if taken % YIELD_AFTER == 0 {
                            // A burst may not fill the mailbox before the writer has had a turn.
                            futures_lite::future::yield_now().await;
                        }
                    }
                    Ok(None) => {
                        let since = self.half.get().filter(|_| taken == before).unwrap_or(self.used.get());
                        self.half.set((!decoder.is_empty()).then_some(since));
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
        let _ = shared.core.send(ToCore::Invalid(self.handle(tag))).await;
    }

    fn handle(&self, tag: u64) -> Handle {
        Handle { mailbox: self.mailbox.clone(), tag }
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
                            let _ = shared.core.send(ToCore::Gone(id)).await;
                        }
                    }
                }
                Ok(())
            }
            _ => Err("a message is neither request nor notification".to_owned()),
        }
    }

    async fn request(&self, shared: &Shared, tag: u64, rest: &[Value]) {
        self.spoke.set(true);
        let message = match rest {
            [Value::Str(method), Value::Array(_)] if method == b"isWell" => ToCore::Check(self.handle(tag)),
            [Value::Str(method), Value::Array(args)] => match self.incoming(shared, tag, method, args) {
                Some(incoming) => {
                    self.open.borrow_mut().insert(tag, incoming.id);
                    ToCore::Arrive(Box::new(incoming))
                }
                None => ToCore::Invalid(self.handle(tag)),
            },
            _ => ToCore::Invalid(self.handle(tag)),
        };
        let _ = shared.core.send(message).await;
    }

    async fn write(
        &self,
        shared: &Shared,
        mut stream: &Async<TcpStream>,
        letters: Receiver<ToCaller>,
    ) -> Result<(), String> {
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
            self.used.set(shared.clock.now());
            let stalled = async {
                shared.wheel.sleep(STALLED_MS).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match or(stream.write_all(&out), stalled).await {
                Ok(()) => {}
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                    return Err("takes no bytes".to_owned());
                }
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }
}
