//! Calls to the next tier through the index: one task a call, on connections that are kept between calls. It owns
//! those connections and their number; it must never say that a call never ran unless that is proved, and never
//! make a call twice.

use crate::admission::{Outcome, RequestId};
use crate::codec::http;
use crate::server::messages::{DispatcherMessage, UpstreamCall, UpstreamMessage};
use crate::server::supervisor::catch_panic;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::future::{or, pending};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use slog::{Logger, error, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// The index closes connections idle for 10 s; well before that they are not used again, ms.
const REUSE_MS: f64 = 7000.0;
/// The most log lines about broken calls, between two that are let through.
const COMPLAIN_MS: f64 = 1000.0;

/// What the tasks share.
struct Shared {
    address: Cell<SocketAddr>,
    clock: Clock,
    wheel: Rc<TimerWheel>,
    log: Logger,
    idle: RefCell<VecDeque<(f64, Async<TcpStream>)>>,
    complained: Cell<f64>,
}

/// The index's actor.
pub struct UpstreamClient {
    shared: Rc<Shared>,
    core: Sender<DispatcherMessage>,
    own: Sender<UpstreamMessage>,
    executor: Rc<LocalExecutor<'static>>,
    /// Connections at most, open calls and kept ones together.
    most: usize,
    open: HashMap<RequestId, (u64, Task<()>)>,
    waiting: VecDeque<(f64, UpstreamCall)>,
    calls: u64,
}

impl UpstreamClient {
    /// An actor with no connection yet, which opens at most `most`.
    #[expect(clippy::too_many_arguments, reason = "each is a different party")]
    pub fn new(
        address: SocketAddr,
        most: usize,
        core: Sender<DispatcherMessage>,
        own: Sender<UpstreamMessage>,
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        wheel: Rc<TimerWheel>,
        log: Logger,
    ) -> Self {
        let shared = Shared {
            address: Cell::new(address),
            clock,
            wheel,
            log,
            idle: RefCell::default(),
            complained: Cell::new(f64::NEG_INFINITY),
        };
        UpstreamClient {
            shared: Rc::new(shared),
            core,
            own,
            executor,
            most,
            open: HashMap::new(),
            waiting: VecDeque::new(),
            calls: 0,
        }
    }

    /// Reads the mailbox until it closes.
    pub async fn run(mut self, inbox: Receiver<UpstreamMessage>) {
        let mut inbox = pin!(inbox);
        loop {
            // A call that found no connection in its time is told so: it never ran.
            let now = self.shared.clock.now();
            let due = self.waiting.iter().map(|(since, call)| since + call.timeout_ms).reduce(f64::min);
            let wheel = self.shared.wheel.clone();
            let expired = async {
                match due {
                    Some(due) => wheel.sleep(due - now).await,
                    None => pending().await,
                }
                None
            };
            let Some(message) = or(async { Some(inbox.next().await) }, expired).await else {
                self.expire().await;
                continue;
            };
            let Some(message) = message else { return };
            match message {
                UpstreamMessage::Call(call) => {
                    self.stop(call.id);
                    self.waiting.push_back((self.shared.clock.now(), call));
                }
                UpstreamMessage::Cancel(id) => self.stop(id),
                UpstreamMessage::SetAddress(to) => {
                    self.shared.address.set(to);
                    self.shared.idle.borrow_mut().clear();
                }
                UpstreamMessage::CallTaskEnded(id, number) => {
                    if self.open.get(&id).is_some_and(|(n, _)| *n == number) {
                        self.open.remove(&id);
                    }
                }
            }
            while self.open.len() < self.most {
                let Some((since, call)) = self.waiting.pop_front() else { break };
                self.begin(since, call);
            }
        }
    }

    async fn expire(&mut self) {
        let now = self.shared.clock.now();
        let over = |(since, call): &(f64, UpstreamCall)| now >= since + call.timeout_ms;
        let (ended, waiting): (VecDeque<_>, _) =
            std::mem::take(&mut self.waiting).into_iter().partition(over);
        self.waiting = waiting;
        for (since, call) in ended {
            self.shared.complain("waiting", "all connections are in use");
            let (outcome, took_ms) = (Outcome::Unreachable, now - since);
            // The mailbox closes only when the program ends.
            let _ = self
                .core
                .send(DispatcherMessage::UpstreamCallEnded {
                    id: call.id,
                    outcome,
                    body: Vec::new(),
                    took_ms,
                })
                .await;
        }
    }

    /// Dropping the task closes its connection, which gives up the call.
    fn stop(&mut self, id: RequestId) {
        self.open.remove(&id);
        self.waiting.retain(|(_, c)| c.id != id);
    }

    fn begin(&mut self, since: f64, call: UpstreamCall) {
        self.calls += 1;
        let (id, number) = (call.id, self.calls);
        {
            // What is kept and what is out share the descriptors.
            let mut idle = self.shared.idle.borrow_mut();
            let now = self.shared.clock.now();
            while idle.front().is_some_and(|(from, _)| now - from > REUSE_MS)
                || !idle.is_empty() && self.open.len() + idle.len() >= self.most
            {
                idle.pop_front();
            }
        }
        let (shared, core, own) = (self.shared.clone(), self.core.clone(), self.own.clone());
        let task = self.executor.spawn(async move {
            let left = call.timeout_ms - (shared.clock.now() - since);
            // Until the first byte goes out no call has run, whatever becomes of the connection.
            let sent = Cell::new(false);
            let limit = async {
                shared.wheel.sleep(left).await;
                (if sent.get() { Outcome::TimedOut } else { Outcome::Unreachable }, Vec::new())
            };
            let (outcome, body) = match catch_panic(or(shared.call(&call, left, &sent), limit)).await {
                Ok(ended) => ended,
                Err(panic) => {
                    error!(shared.log, "upstream call task panicked"; "error" => %panic);
                    (if sent.get() { Outcome::ConnectionLost } else { Outcome::Unreachable }, Vec::new())
                }
            };
            let took_ms = shared.clock.now() - since;
            // Both mailboxes close only when the program ends.
            let _ = core.send(DispatcherMessage::UpstreamCallEnded { id, outcome, body, took_ms }).await;
            let _ = own.send(UpstreamMessage::CallTaskEnded(id, number)).await;
        });
        self.open.insert(id, (number, task));
    }
}

impl Shared {
    /// A kept connection that the other side has not closed and that has nothing left to read.
    fn kept(&self) -> Option<Async<TcpStream>> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        while let Some((from, stream)) = idle.pop_back() {
            let quiet =
                matches!(stream.get_ref().read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if now - from <= REUSE_MS && quiet {
                return Some(stream);
            }
        }
        None
    }

    fn complain(&self, what: &str, why: &str) {
        let now = self.clock.now();
        if now - self.complained.get() > COMPLAIN_MS {
            self.complained.set(now);
            warn!(self.log, "call below broke"; "what" => what, "why" => why);
        }
    }

    async fn call(&self, call: &UpstreamCall, left_ms: f64, sent: &Cell<bool>) -> (Outcome, Vec<u8>) {
        let nothing = |outcome| (outcome, Vec::new());
        let address = self.address.get();
        // A kept connection may have been forgotten by the other side and break under the call. That would prove
        // nothing, though the call never ran: one that can't be made again gets a connection of its own.
        let kept = if call.at_most_once { None } else { self.kept() };
        let again = kept.is_some();
        let stream = match kept {
            Some(stream) => stream,
            None => match Async::<TcpStream>::connect(address).await {
                Ok(stream) => stream,
                Err(e) => {
                    // Not one byte was written: whatever the error, no call ran.
                    self.complain("connecting", &e.to_string());
                    return nothing(Outcome::Unreachable);
                }
            },
        };
        let _ = stream.get_ref().set_nodelay(true);
        let parent = format!("{:016x}", call.attempt);
        let budget = format!("{}", left_ms.max(1.0).round());
        let headers = [("X-Parent-Id", parent.as_str()), ("X-Budget-Ms", budget.as_str())];
        let request = http::request("POST", "/lookup", &address.to_string(), &headers, &call.body);
        let mut io = &stream;
        sent.set(true);
        if let Err(e) = io.write_all(&request).await {
            self.complain("writing", &e.to_string());
            return nothing(Outcome::ConnectionLost);
        }
        let (mut decoder, mut bytes) = (http::Decoder::default(), vec![0; 8 * 1024]);
        loop {
            let read = match io.read(&mut bytes).await {
                Ok(n) => n,
                Err(e) => {
                    if again {
                        // The others were kept as long: the next call had better not try its luck.
                        self.idle.borrow_mut().clear();
                    }
                    self.complain("reading", &e.to_string());
                    return nothing(Outcome::ConnectionLost);
                }
            };
            decoder.feed(&bytes[..read]);
            match decoder.next_reply(read == 0) {
                Ok(Some(reply)) => {
                    let there = address == self.address.get();
                    if there && reply.keep_alive && read > 0 && decoder.is_empty() {
                        self.idle.borrow_mut().push_back((self.clock.now(), stream));
                    }
                    return judge(reply);
                }
                Ok(None) if read == 0 => {
                    self.complain("reading", "closed by the index");
                    return nothing(Outcome::ConnectionLost);
                }
                Ok(None) => {}
                Err(e) => {
                    self.complain("reading", &e.to_string());
                    return nothing(Outcome::ConnectionLost);
                }
            }
        }
    }
}

/// What a reply says. Only a marked 503 or 409 proves that nothing ran.
fn judge(reply: http::Reply) -> (Outcome, Vec<u8>) {
    let shed = reply.header("x-shed") == Some("1");
    let outcome = match reply.status {
        200 => Outcome::Ok,
        503 | 409 if shed => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Error,
    };
    (outcome, reply.body)
}
