//! What the actors tell one another. This module knows no actor: every actor names it and none names another, so that
//! one can be replaced, or a second front set beside the first, without touching the rest. It holds no behaviour, and
//! must never come to name a protocol's words.

use crate::admission::{Outcome, Reconfiguration, RequestId};
use crate::server::usage::billing::FromLedger;
use async_channel::Sender;
use dunlinspread_store::Writer;
use std::net::SocketAddr;
use std::rc::Rc;

/// A final answer, or the answer to a health check.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result of a run made for this request.
    Served(Rc<[u8]>),
    /// Turned away; this try never ran.
    Refused {
        /// Advice to keep away for this long; 0 for none.
        retry_after_ms: f64,
        /// Ask the caller to try no other instance.
        last: bool,
    },
    /// An error, with no promise.
    Failed,
    /// The request can't be understood; nothing was done for it.
    Invalid,
    /// Health as the module set it.
    Health(bool),
}

/// What a connection's actor is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ToCaller {
    /// The answer to what bears this tag, with the module's present value for callers.
    Answer {
        /// The connection's own mark for the request.
        tag: u64,
        /// The answer.
        answer: Answer,
        /// The value that goes out on every answer.
        said: Option<f64>,
    },
    /// Take no new request from now on: tell the caller, and end once it has its answers.
    Leave,
}

/// Where an answer goes. A connection that is gone takes it and does nothing.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The connection's mailbox.
    pub mailbox: Sender<ToCaller>,
    /// The connection's own mark for the request.
    pub tag: u64,
}

/// A request as a front read it.
#[derive(Debug)]
pub struct Incoming {
    /// The front's number for it, unique and rising.
    pub id: RequestId,
    /// The platform's name for this try.
    pub call: u64,
    /// The class, by position.
    pub class: usize,
    /// When it reached the machine, Unix ms.
    pub reached: f64,
    /// Memory while held.
    pub held_kb: f64,
    /// Its place, 0 to 1.
    pub rank: f64,
    /// What all tries of one keyed request share.
    pub key: Option<Vec<u8>>,
    /// How long its caller waits for this try from `reached` on, ms, where that is told.
    pub waits: Option<f64>,
    /// The tenant, by position.
    pub tenant: usize,
    /// The account that it is billed to; a good name.
    pub account: Option<Rc<str>>,
    /// It names what it reads.
    pub subject: bool,
    /// The body, unchanged.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub handle: Handle,
}

/// What the core is told.
#[derive(Debug)]
pub enum ToCore {
    /// A request was read.
    Arrive(Box<Incoming>),
    /// Something was read that is no proper request but can be answered.
    Invalid(Handle),
    /// A health check.
    Check(Handle),
    /// The caller no longer waits.
    Gone(RequestId),
    /// From the worker pool.
    Pool(Report),
    /// A call ended, with the reply's body if it went well.
    CallEnded {
        /// Whose call.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// The reply.
        body: Vec<u8>,
        /// How long it took.
        took_ms: f64,
    },
    /// A timer of the module is due.
    Timer(u64),
    /// The gauges asked for with this tag are late.
    GaugesLate(u64),
    /// Notice to leave.
    Drain {
        /// When the process stops, Unix ms.
        stop_at: f64,
    },
    /// Changes of settings come in force: what was read before them stands before this in the mailbox.
    Reconfigured(Box<Reconfigured>),
    /// Time to sweep.
    Sweep,
    /// From the ledger's threads.
    Ledger(Box<FromLedger>),
    /// Time passes for the ledger.
    LedgerTick,
    /// The program ends: give up the ledger's writer, if there is one.
    LedgerEnd(Sender<Writer>),
}

/// Changes of settings, and where it is told that they are in force.
#[derive(Debug)]
pub struct Reconfigured {
    /// The changes.
    pub changes: Reconfiguration,
    /// Has room for the one message.
    pub done: Sender<()>,
}

/// A command, in the core's words.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run a request.
    Spawn {
        /// The try's name.
        call: u64,
        /// Its class, by position.
        class: usize,
        /// The body as it came.
        body: Rc<[u8]>,
    },
    /// Stop a run.
    Suspend {
        /// The try's name.
        call: u64,
    },
    /// Go on with a paused run.
    Proceed {
        /// The try's name.
        call: u64,
    },
    /// The reply to the call that a run waits for.
    Supply {
        /// The try's name.
        call: u64,
        /// The reply, unchanged.
        body: Rc<[u8]>,
    },
    /// Go on without the call that a notice asked for.
    Pass {
        /// The try's name.
        call: u64,
        /// The number of that notice.
        seq: u64,
    },
    /// Ask for the gauges.
    Poll {
        /// Comes back with them.
        tag: u64,
    },
}

/// A command for one link; it is void on any other.
#[derive(Debug)]
pub struct Order {
    /// The link's number.
    pub link: u64,
    /// The command.
    pub command: Command,
}

/// What the link's actor is told.
#[derive(Debug)]
pub enum ToPool {
    /// Send a command.
    Order(Order),
    /// The pool listens elsewhere from now on; its runs and notices go on.
    Move(SocketAddr),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a result.
    Good,
    /// It failed.
    Bad,
    /// It was stopped, or ended at a call since its request is over.
    Cut,
    /// Nothing was started, since its request is over.
    Gone,
}

/// What the core is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The pool is there.
    Bound {
        /// It started cold.
        cold: bool,
        /// How long ago it started, ms.
        ago_ms: f64,
    },
    /// The pool was started anew: what the one before it ran has ended with it.
    Anew,
    /// The link with this number takes commands, and all notices before it have been read.
    Up(u64),
    /// The link ended.
    Down,
    /// A run is over.
    Finished {
        /// The try's name.
        call: u64,
        /// How it ended.
        end: End,
        /// After so long, ms.
        took_ms: f64,
        /// The result.
        body: Vec<u8>,
    },
    /// A run waits for a call.
    Blocked {
        /// The try's name.
        call: u64,
        /// The number of this notice.
        seq: u64,
        /// The call's body.
        body: Vec<u8>,
    },
    /// The gauges.
    Polled {
        /// The tag of the asking.
        tag: u64,
        /// The values, in the order of the settings.
        values: Vec<f64>,
    },
    /// A command was not carried out.
    Unknown {
        /// The command.
        command: String,
        /// The try's name, or 0.
        call: u64,
    },
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// The request it is made for.
    pub id: RequestId,
    /// That try's name on the platform.
    pub parent: u64,
    /// Give it up after this long.
    pub limit_ms: f64,
    /// The body that the run gave.
    pub body: Rc<[u8]>,
    /// It may not be made again unless it is proved that it never ran.
    pub once: bool,
}

/// What the actor is told.
#[derive(Debug)]
pub enum ToIndex {
    /// Make a call. A second one for a request gives up the first.
    Call(Call),
    /// Give up a request's call, if it is out; no end is reported.
    Stop(RequestId),
    /// The index listens elsewhere from now on; calls that are out go on where they are.
    Move(SocketAddr),
    /// A call's task is over.
    Over(RequestId, u64),
}

/// What the actor is told.
#[derive(Debug)]
pub enum ToCatalog {
    /// Health as the module set it.
    Health(bool),
    /// The catalog listens elsewhere from now on.
    Move(SocketAddr),
}

/// What the list is told.
#[derive(Debug)]
pub enum ToList {
    /// Close connections idle for this long.
    IdleLimit(f64),
    /// A connection ended.
    Ended(u64),
    /// The program leaves: no new connections, and the open ones are told.
    Leave {
        /// When they end, whatever their callers do, Unix ms. All is answered by then.
        finish_at: f64,
    },
}
