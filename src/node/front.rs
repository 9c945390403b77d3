//! The front that client proxies see: MessagePack-RPC. The list's actor accepts connections, keeps their number
//! within its part of the descriptors, and closes idle ones; each connection has an actor of its own that turns
//! bytes into the core's messages and its answers into bytes. It must never decide about a request, never answer
//! one by itself, and never let one connection's faults or slowness reach another.

use super::messages::{Answer, Handle, Incoming, ToCaller, ToCore, ToList};
use super::wheel::{Clock, Wheel};
use crate::codec::msgpack::{self, Value};
use crate::interface::{Class, Effect, RequestId};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use dunlinspread_ledger::Account;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// The longest body of a request, in bytes.
const MAX_BODY: usize = 2048;
/// The longest key, in bytes.
const MAX_KEY: usize = 128;
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
/// The most memory that a request may say it takes while held, kB; the protocol allows less.
const MAX_HELD_KB: f64 = 2000.0;
/// The longest that a caller may say it waits for one try, in times its class is given up after in all, which the
/// protocol makes the longest: a figure past this is none that a caller means.
const MAX_WAITS: f64 = 2.0;
/// How often the list looks for idle connections, ms.
const SWEEP_MS: f64 = 25.0;
/// How long a connection may take to its first whole request, and a message from its first byte to its last, ms. The
/// platform allows three seconds in all; a caller that means well sends within a round trip.
const WHOLE_MS: f64 = 2000.0;
/// How late the list may be in looking, ms, before the time counts as one in which the program itself stood still.
const STOOD_STILL_MS: f64 = 500.0;
/// How long a new connection counts as one that is about to send, when room is needed, ms.
const NEW_MS: f64 = 50.0;
/// The part of the connections, as a divisor, that is kept free by closing idle ones.
const FREE_PART: usize = 8;
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

    /// A proper request, or none: an unknown class, a field missing or out of range, a body too long, or too many
    /// open at once.
    fn incoming(&self, shared: &Shared, tag: u64, method: &[u8], args: &[Value]) -> Option<Incoming> {
        let class = shared.classes.iter().position(|(name, _)| name.as_bytes() == method)?;
        let [Value::Map(fields), Value::Bin(body)] = args else { return None };
        let field = |name: &str| -> Option<&str> {
            let found = fields.iter().find(|(k, _)| matches!(k, Value::Str(k) if k == name.as_bytes()));
            match found {
                Some((_, Value::Str(text))) => std::str::from_utf8(text).ok(),
                _ => None,
            }
        };
        let number = |name: &str| field(name)?.parse::<f64>().ok().filter(|n| n.is_finite());
        let call = field("call").filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))?;
        let key = field("dedupe").filter(|k| !k.is_empty() && k.len() <= MAX_KEY);
        let keyed = shared.classes[class].1.effect == Effect::Keyed;
        if body.len() > MAX_BODY || self.open.borrow().len() >= MAX_OPEN || keyed && key.is_none() {
            return None;
        }
        let present =
            |name: &str| fields.iter().any(|(k, _)| matches!(k, Value::Str(k) if k == name.as_bytes()));
        let named = shared.accounts && present("org");
        let account = if named { Some(Account::named(field("org")?).ok()?) } else { None };
        let reached = number("recv").filter(|r| *r > 0.0)?;
        let longest = MAX_WAITS * shared.classes[class].1.give_up_ms;
        let ttl = match (present("ttl"), shared.passes_deadline) {
            (false, false) => None,
            _ => Some(number("ttl").filter(|t| *t > 0.0 && *t <= longest)?),
        };
        // A tenant that the settings don't list has no share by which its traffic could be judged.
        let tenant = match &shared.tenants[..] {
            [] => 0,
            tenants => tenants.iter().position(|t| Some(t.as_str()) == field("org"))?,
        };
        let id = shared.last_id.get() + 1;
        let incoming = Incoming {
            id,
            call: u64::from_str_radix(call, 16).ok()?,
            class,
            reached,
            held_kb: number("heap").filter(|h| *h > 0.0 && *h < MAX_HELD_KB)?,
            rank: number("crit").filter(|r| (0.0..1.0).contains(r))?,
            // The class is part of the key: two classes' tries are never tries of one request.
            key: key.filter(|_| keyed).map(|k| [&[class as u8], k.as_bytes()].concat()),
            waits: ttl,
            tenant,
            account: account.map(|a| Rc::from(a.as_str())),
            subject: field("row").is_some(),
            body: body.clone(),
            handle: self.handle(tag),
        };
        shared.last_id.set(id);
        Some(incoming)
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

    fn put(&self, letter: ToCaller, out: &mut Vec<u8>) {
        let ToCaller::Answer { tag, answer, said } = letter else {
            msgpack::put_array(out, 3);
            msgpack::put_uint(out, 2);
            msgpack::put_str(out, "shutdown");
            return msgpack::put_array(out, 0);
        };
        // One that was forgotten meanwhile is owed nothing. What was never taken for a request is not open, but gets
        // its error; what the core found to be none is open no longer, or its connection would never be idle.
        let open = self.open.borrow_mut().remove(&tag).is_some();
        if !open && matches!(answer, Answer::Served(_) | Answer::Refused { .. } | Answer::Failed) {
            return;
        }
        let mut fields = Vec::new();
        fields.extend(said.map(|value| ("load", value.to_string())));
        if let Answer::Refused { retry_after_ms, last } = &answer {
            if *retry_after_ms > 0.0 {
                fields.push(("pushback", retry_after_ms.round().to_string()));
            }
            if *last {
                fields.push(("stop", "1".to_owned()));
            }
        }
        msgpack::put_array(out, 4);
        msgpack::put_uint(out, 1);
        msgpack::put_uint(out, tag);
        let error = match &answer {
            Answer::Served(_) | Answer::Health(_) => None,
            Answer::Refused { .. } => Some("Backoff"),
            Answer::Failed => Some("Failed"),
            Answer::Invalid => Some("Invalid"),
        };
        match error {
            Some(name) => {
                msgpack::put_array(out, 2);
                msgpack::put_str(out, name);
            }
            None => {
                msgpack::put_nil(out);
                msgpack::put_array(out, 2);
                match &answer {
                    Answer::Served(body) => msgpack::put_bin(out, body),
                    Answer::Health(good) => msgpack::put_bool(out, *good),
                    _ => {}
                }
            }
        }
        msgpack::put_map(out, fields.len() as u8);
        for (name, value) in &fields {
            msgpack::put_str(out, name);
            msgpack::put_str(out, value);
        }
        if error.is_some() {
            msgpack::put_nil(out);
        }
    }
}
