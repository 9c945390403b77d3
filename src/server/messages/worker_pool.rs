//! Messages to the link to the worker pool, and the events that the link reports.

use std::net::SocketAddr;
use std::rc::Rc;

/// A command to the worker pool.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolCommand {
    /// Run a request.
    Run {
        /// The number of the attempt.
        attempt: u64,
        /// The class, by position.
        class: usize,
        /// The body of the request, as received.
        body: Rc<[u8]>,
    },
    /// Stop or pause a run.
    Suspend {
        /// The number of the attempt.
        attempt: u64,
    },
    /// Resume a paused run.
    Resume {
        /// The number of the attempt.
        attempt: u64,
    },
    /// Deliver the reply to the upstream call that a run waits for.
    UpstreamReply {
        /// The number of the attempt.
        attempt: u64,
        /// The number of the notice that requested the call. The protocol has no place for it.
        seq: u64,
        /// The reply, as received.
        body: Rc<[u8]>,
    },
    /// Continue without the upstream call that a run waits for.
    SkipUpstreamCall {
        /// The number of the attempt.
        attempt: u64,
        /// The number of the notice that requested the call.
        seq: u64,
    },
    /// Read the gauges.
    ReadGauges {
        /// Identifies the reading in [`PoolEvent::Gauges`].
        tag: u64,
    },
}

/// Position of a command in the order in which commands are handed to links. It increases across links.
pub type CommandNumber = u64;

/// A command for one link; on any other link it is dropped.
#[derive(Debug)]
pub struct LinkCommand {
    /// The number of the link.
    pub link: u64,
    /// The number of the command.
    pub number: CommandNumber,
    /// When the dispatcher sent the command, Unix ms.
    pub given_at: f64,
    /// The command.
    pub command: PoolCommand,
}

/// A message to the link to the worker pool.
#[derive(Debug)]
pub enum WorkerPoolMessage {
    /// Send a command.
    Command(LinkCommand),
    /// The address of the pool changed. Its runs and the sequence of its notices continue.
    SetAddress(SocketAddr),
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run completed with a result.
    Completed,
    /// The run failed; it may have had an effect.
    Failed,
    /// The run was stopped or paused, or ended at an upstream call because its request is finished.
    Stopped,
    /// The run was not started, because the request was finished.
    NotStarted,
    /// The pool no longer has the run; it may have had an effect.
    Lost,
}

/// Kind of a command that the pool rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedCommand {
    /// [`PoolCommand::Run`].
    #[error("run")]
    Run,
    /// [`PoolCommand::Suspend`].
    #[error("suspend")]
    Suspend,
    /// [`PoolCommand::Resume`].
    #[error("resume")]
    Resume,
    /// [`PoolCommand::UpstreamReply`].
    #[error("upstream reply")]
    UpstreamReply,
    /// [`PoolCommand::SkipUpstreamCall`].
    #[error("skip upstream call")]
    SkipUpstreamCall,
    /// [`PoolCommand::ReadGauges`].
    #[error("read gauges")]
    ReadGauges,
    /// A command name that this server does not know.
    #[error("{0}")]
    Unrecognized(String),
}

impl RejectedCommand {
    /// Returns the kind of the command as one of a fixed set of words.
    pub fn kind(&self) -> &'static str {
        match self {
            RejectedCommand::Run => "run",
            RejectedCommand::Suspend => "suspend",
            RejectedCommand::Resume => "resume",
            RejectedCommand::UpstreamReply => "upstream reply",
            RejectedCommand::SkipUpstreamCall => "skip upstream call",
            RejectedCommand::ReadGauges => "read gauges",
            RejectedCommand::Unrecognized(_) => "unrecognized",
        }
    }
}

/// An event of the worker pool or of the link to it.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// The pool accepted the link, and reported its own start.
    Started {
        /// Whether the pool started cold.
        cold: bool,
        /// Time since the pool started, ms.
        ago_ms: f64,
    },
    /// The pool restarted, which ended all its earlier runs.
    Restarted,
    /// The link with this number accepts commands; all earlier notices have been read.
    LinkUp(u64),
    /// The link ended.
    LinkDown {
        /// Number of the last command of which any part may have been written to the link; `None` if there is
        /// no such command.
        last_written: Option<CommandNumber>,
        /// Whether all commands that were written to the link were carried out.
        is_drained: bool,
    },
    /// Commands that runs need to continue were written late.
    CommandsDelayed {
        /// How long the oldest of the commands waited, ms: from the time when the dispatcher sent it, or from
        /// the last write of such commands if that was later.
        waited_ms: f64,
    },
    /// A run ended or was paused.
    RunEnded {
        /// The number of the attempt.
        attempt: u64,
        /// Outcome of the run.
        end: RunOutcome,
        /// Duration of the run, ms.
        took_ms: f64,
        /// Result of the run; empty unless the run completed.
        body: Vec<u8>,
    },
    /// A run waits for an upstream call.
    UpstreamCallNeeded {
        /// The number of the attempt.
        attempt: u64,
        /// Number of the notice.
        seq: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The gauges were read.
    Gauges {
        /// The tag of [`PoolCommand::ReadGauges`].
        tag: u64,
        /// Values of the gauges, in the order of their names in the settings.
        values: Vec<f64>,
    },
    /// The pool rejected a command.
    CommandRejected {
        /// Kind of the command.
        command: RejectedCommand,
        /// The number of the attempt, or 0 if the pool named none.
        attempt: u64,
    },
}
