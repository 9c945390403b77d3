//! Messages to the link to the worker pool, and the events that it reports.

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
    /// Pass on the reply to the upstream call that a run waits for.
    UpstreamReply {
        /// The number of the attempt.
        attempt: u64,
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

/// A command for one link; on any other link it is dropped.
#[derive(Debug)]
pub struct LinkCommand {
    /// The number of the link.
    pub link: u64,
    /// When it was given, Unix ms.
    pub given_at: f64,
    /// The command.
    pub command: PoolCommand,
}

/// A message to the link to the worker pool.
#[derive(Debug)]
pub enum WorkerPoolMessage {
    /// Send a command.
    Command(LinkCommand),
    /// The address of the pool changed; its runs and notices go on.
    SetAddress(SocketAddr),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a result.
    Completed,
    /// It failed; it may have had its effect.
    Failed,
    /// It was stopped or paused, or ended at an upstream call because its request is finished.
    Stopped,
    /// Nothing was started, because the request was finished.
    NotStarted,
    /// The pool knows nothing of it any more; it may have had its effect.
    Lost,
}

/// The kind of a command that the pool rejected.
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
    /// A word that names no command of this server.
    #[error("{0}")]
    Unrecognized(String),
}

impl RejectedCommand {
    /// Returns the kind of the command, one of a few words.
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
    /// The pool accepted the link.
    Started {
        /// Whether it started cold.
        cold: bool,
        /// How long ago it started, ms.
        ago_ms: f64,
    },
    /// The pool restarted: the runs of the one before ended with it.
    Restarted,
    /// The link with this number accepts commands; all earlier notices have been read.
    LinkUp(u64),
    /// The link ended.
    LinkDown,
    /// Commands that runs need to go on were written late.
    CommandsDelayed {
        /// How long the first of them had waited since it was given, or since such commands were last written, ms.
        waited_ms: f64,
    },
    /// A run ended or was paused.
    RunEnded {
        /// The number of the attempt.
        attempt: u64,
        /// How it ended.
        end: RunOutcome,
        /// How long it took, ms.
        took_ms: f64,
        /// The result; empty unless the run completed.
        body: Vec<u8>,
    },
    /// A run waits for an upstream call.
    UpstreamCallNeeded {
        /// The number of the attempt.
        attempt: u64,
        /// The number of the notice.
        seq: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The gauges were read.
    Gauges {
        /// The tag of [`PoolCommand::ReadGauges`].
        tag: u64,
        /// The values, in the order of the settings.
        values: Vec<f64>,
    },
    /// The pool rejected a command.
    CommandRejected {
        /// The command.
        command: RejectedCommand,
        /// The number of the attempt, or 0 if the pool named none.
        attempt: u64,
    },
}
