//! Messages to the link to the worker pool, and the events that it reports.

use std::net::SocketAddr;
use std::rc::Rc;

/// A command, in the core's words.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolCommand {
    /// Run a request.
    Run {
        /// The try's name.
        attempt: u64,
        /// Its class, by position.
        class: usize,
        /// The body as it came.
        body: Rc<[u8]>,
    },
    /// Stop a run.
    Suspend {
        /// The try's name.
        attempt: u64,
    },
    /// Go on with a paused run.
    Resume {
        /// The try's name.
        attempt: u64,
    },
    /// The reply to the call that a run waits for.
    UpstreamReply {
        /// The try's name.
        attempt: u64,
        /// The reply, unchanged.
        body: Rc<[u8]>,
    },
    /// Go on without the call that a notice asked for.
    SkipUpstreamCall {
        /// The try's name.
        attempt: u64,
        /// The number of that notice.
        seq: u64,
    },
    /// Ask for the gauges.
    ReadGauges {
        /// Comes back with them.
        tag: u64,
    },
}

/// A command for one link; it is void on any other.
#[derive(Debug)]
pub struct LinkCommand {
    /// The link's number.
    pub link: u64,
    /// The command.
    pub command: PoolCommand,
}

/// What the link's actor is told.
#[derive(Debug)]
pub enum WorkerPoolMessage {
    /// Send a command.
    Command(LinkCommand),
    /// The pool listens elsewhere from now on; its runs and notices go on.
    SetAddress(SocketAddr),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a result.
    Completed,
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call since its request is over.
    Stopped,
    /// Nothing was started, since its request is over.
    NotStarted,
}

/// What the core is told.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// The pool is there.
    Started {
        /// It started cold.
        cold: bool,
        /// How long ago it started, ms.
        ago_ms: f64,
    },
    /// The pool was started anew: what the one before it ran has ended with it.
    Restarted,
    /// The link with this number takes commands, and all notices before it have been read.
    LinkUp(u64),
    /// The link ended.
    LinkDown,
    /// A run is over.
    RunEnded {
        /// The try's name.
        attempt: u64,
        /// How it ended.
        end: RunOutcome,
        /// After so long, ms.
        took_ms: f64,
        /// The result.
        body: Vec<u8>,
    },
    /// A run waits for a call.
    UpstreamCallNeeded {
        /// The try's name.
        attempt: u64,
        /// The number of this notice.
        seq: u64,
        /// The call's body.
        body: Vec<u8>,
    },
    /// The gauges.
    Gauges {
        /// The tag of the asking.
        tag: u64,
        /// The values, in the order of the settings.
        values: Vec<f64>,
    },
    /// A command was not carried out.
    CommandRejected {
        /// The command.
        command: String,
        /// The try's name, or 0.
        attempt: u64,
    },
}
