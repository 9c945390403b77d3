//! The server of the model: the real decisions, with the commands of one request.

use super::pool::Notice;
use super::system::RequestKind;
use dunlinspread::server::messages::{CommandNumber, PoolCommand};
use dunlinspread::server::worker_pool::{Delivery, DeliveryTracker, Redelivery, RedeliveryContext};

/// Decides on a command whose link has ended.
pub type Rule = fn(&PoolCommand, Delivery, RedeliveryContext) -> Redelivery;

/// The rule that sends all unconfirmed commands again.
pub fn send_again(command: &PoolCommand, _: Delivery, _: RedeliveryContext) -> Redelivery {
    Redelivery::Send(command.clone())
}

/// A command for the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    Run,
    /// The reply to the call of this number, which the notice of this number requested.
    Reply {
        call: u64,
        notice: u64,
    },
    Skip {
        notice: u64,
    },
}

/// What the server knows about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    Queued,
    Running,
    AtCall { call: u64, notice: u64 },
    Ended,
}

/// The server. It has a link once the worker pool has answered the reading with which the link begins.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Server {
    pub progress: Progress,
    pub is_linked: bool,
    pub unconfirmed: Vec<(Command, Delivery)>,
    pub tracker: DeliveryTracker,
    /// Number of the last notice read.
    pub last_notice: u64,
    pub readings: u64,
    /// Commands and readings handed to the link and not written yet.
    pub mailbox: Vec<Written>,
}

/// A command or a reading on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Written {
    Command(CommandNumber, Command),
    Reading {
        number: CommandNumber,
        tag: u64,
    },
    /// The reading with which a link begins.
    CaughtUp,
}

impl Server {
    pub fn new() -> Server {
        Server {
            progress: Progress::Queued,
            is_linked: false,
            unconfirmed: Vec::new(),
            tracker: DeliveryTracker::default(),
            last_notice: 0,
            readings: 0,
            mailbox: Vec::new(),
        }
    }

    /// Issues the next command for the run: its start, or the reply to its call.
    pub fn issue(&mut self) {
        let command = match self.progress {
            Progress::Queued => Command::Run,
            Progress::AtCall { call, notice } => Command::Reply { call, notice },
            Progress::Running | Progress::Ended => return,
        };
        self.progress = Progress::Running;
        let delivery = self.send(command);
        self.unconfirmed.push((command, delivery));
    }

    fn send(&mut self, command: Command) -> Delivery {
        if !self.is_linked {
            return Delivery::NotWritten;
        }
        let number = self.tracker.begin_command();
        self.mailbox.push(Written::Command(number, command));
        Delivery::Sent(number)
    }

    /// Hands a reading of the gauges to the link.
    pub fn read_gauges(&mut self) {
        self.readings += 1;
        let tag = self.readings;
        let number = self.tracker.begin_reading(tag);
        self.mailbox.push(Written::Reading { number, tag });
    }

    /// Reads a notice, unless it was read before.
    pub fn read_notice(&mut self, number: u64, notice: Notice) {
        if number <= self.last_notice {
            return;
        }
        self.last_notice = number;
        self.unconfirmed.clear();
        self.progress = match notice {
            Notice::CallNeeded { call } => Progress::AtCall { call, notice: number },
            Notice::Ended => Progress::Ended,
        };
    }

    /// Handles the end of the link, on which `last_written` was written last.
    pub fn lose_link(&mut self, last_written: Option<CommandNumber>) {
        self.is_linked = false;
        self.mailbox.clear();
        self.tracker.on_link_end(last_written, false);
    }

    /// Begins to use a new link.
    pub fn use_link(&mut self, kind: RequestKind, rule: Rule) {
        self.is_linked = true;
        let RequestKind { is_idempotent, may_skip_calls, .. } = kind;
        let context = RedeliveryContext { is_idempotent, may_skip_calls, is_answered: false };
        for position in 0..self.unconfirmed.len() {
            let (command, delivery) = self.unconfirmed[position];
            let delivery = self.tracker.after_link_end(delivery);
            self.unconfirmed[position] = match rule(&pool_command(command), delivery, context) {
                Redelivery::Keep => (command, delivery),
                Redelivery::Send(sent) => {
                    let sent = model_command(&sent);
                    (sent, self.send(sent))
                }
            };
        }
    }
}

fn pool_command(command: Command) -> PoolCommand {
    const ATTEMPT: u64 = 1;
    match command {
        Command::Run => PoolCommand::Run { attempt: ATTEMPT, class: 0, body: [].into() },
        Command::Reply { call, notice } => {
            PoolCommand::UpstreamReply { attempt: ATTEMPT, seq: notice, body: call.to_be_bytes().into() }
        }
        Command::Skip { notice } => PoolCommand::SkipUpstreamCall { attempt: ATTEMPT, seq: notice },
    }
}

fn model_command(command: &PoolCommand) -> Command {
    match command {
        PoolCommand::Run { .. } => Command::Run,
        PoolCommand::UpstreamReply { seq, body, .. } => {
            let call = <[u8; 8]>::try_from(&body[..]).expect("the number of a call");
            Command::Reply { call: u64::from_be_bytes(call), notice: *seq }
        }
        PoolCommand::SkipUpstreamCall { seq, .. } => Command::Skip { notice: *seq },
        PoolCommand::Suspend { .. } | PoolCommand::Resume { .. } | PoolCommand::ReadGauges { .. } => {
            panic!("the model has no such command: {command:?}")
        }
    }
}
