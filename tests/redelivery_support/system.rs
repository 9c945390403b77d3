//! The whole system of the model: server, link and worker pool.

use super::pool::{Notice, Pool, Run};
use super::rules;
use super::server::{Progress, Rule, Server, Written};
use dunlinspread::server::messages::CommandNumber;
use stateright::{Model, Property};
use std::collections::VecDeque;

/// Maximum number of breaks of the link.
pub const MAX_BREAKS: u32 = 2;
/// Maximum number of readings of the gauges.
const MAX_READINGS: u64 = 2;

/// The properties of the request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub is_idempotent: bool,
    pub may_skip_calls: bool,
    /// Number of upstream calls of a run.
    pub calls: u64,
}

/// The model's parameters.
pub struct RequestModel {
    pub kind: RequestKind,
    pub rule: Rule,
}

/// A message of the worker pool on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Received {
    Notice(u64, Notice),
    Polled(u64),
    CaughtUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct System {
    pub server: Server,
    pub pool: Pool,
    /// Whether the link is up for the worker pool.
    pub is_link_up: bool,
    pub to_pool: VecDeque<Written>,
    pub to_server: VecDeque<Received>,
    /// The last command that was written to the current link.
    last_written: Option<CommandNumber>,
    pub breaks: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The server issues the next command for the run.
    Issue,
    ReadGauges,
    /// The link's task writes the oldest command that was handed to it.
    Write,
    /// The worker pool carries out the oldest command on the link, or one that it received before a break.
    CarryOut,
    /// The run comes to its next call, or to its end.
    AdvanceRun,
    /// The server reads the oldest message on the link.
    Read,
    Break,
    /// A new link begins.
    Bind,
}

const STEPS: [Step; 8] = [
    Step::Issue,
    Step::ReadGauges,
    Step::Write,
    Step::CarryOut,
    Step::AdvanceRun,
    Step::Read,
    Step::Break,
    Step::Bind,
];

impl System {
    fn allows(&self, step: Step) -> bool {
        match step {
            Step::Issue => matches!(self.server.progress, Progress::Queued | Progress::AtCall { .. }),
            Step::ReadGauges => self.server.is_linked && self.server.readings < MAX_READINGS,
            Step::Write => !self.server.mailbox.is_empty(),
            Step::CarryOut => !self.to_pool.is_empty(),
            Step::AdvanceRun => matches!(self.pool.run, Run::Working(_)),
            Step::Read => !self.to_server.is_empty(),
            Step::Break => self.is_link_up && self.breaks < MAX_BREAKS,
            Step::Bind => !self.is_link_up,
        }
    }

    fn carry_out_command(&mut self) {
        match self.to_pool.pop_front() {
            Some(Written::Command(number, command)) => self.pool.carry_out(number, command),
            Some(Written::Reading { number, tag }) => {
                self.pool.carried_out.insert(number);
                self.answer(Received::Polled(tag));
            }
            Some(Written::CaughtUp) => self.answer(Received::CaughtUp),
            None => {}
        }
    }

    /// Sends an answer, which is lost without a link.
    fn answer(&mut self, answer: Received) {
        if self.is_link_up {
            self.to_server.push_back(answer);
        }
    }

    fn advance_run(&mut self) {
        let known = self.pool.notices.len();
        self.pool.advance_run();
        if self.is_link_up {
            self.send_notices_after(known);
        }
    }

    fn send_notices_after(&mut self, known: usize) {
        let notices = self.pool.notices.iter().enumerate().skip(known);
        self.to_server
            .extend(notices.map(|(position, notice)| Received::Notice(position as u64 + 1, *notice)));
    }

    fn write(&mut self) {
        let written = self.server.mailbox.remove(0);
        if let Written::Command(number, _) | Written::Reading { number, .. } = written {
            self.last_written = Some(number);
        }
        self.to_pool.push_back(written);
    }

    fn read(&mut self, model: &RequestModel) {
        match self.to_server.pop_front() {
            Some(Received::Notice(number, notice)) => self.server.read_notice(number, notice),
            Some(Received::Polled(tag)) => self.server.tracker.on_reading_answered(tag),
            Some(Received::CaughtUp) => self.server.use_link(model.kind, model.rule),
            None => {}
        }
    }

    /// Breaks the link. The worker pool keeps what it has received until a new link begins.
    fn break_link(&mut self) {
        self.breaks += 1;
        self.is_link_up = false;
        self.to_server.clear();
        self.server.lose_link(self.last_written.take());
    }

    fn bind(&mut self) {
        self.is_link_up = true;
        self.to_pool = VecDeque::from([Written::CaughtUp]);
        self.send_notices_after(self.server.last_notice as usize);
    }

    /// Returns whether nothing more will happen without a further break.
    pub fn is_settled(&self) -> bool {
        let open = |step: &Step| !matches!(step, Step::Break | Step::ReadGauges) && self.allows(*step);
        self.is_link_up && !STEPS.iter().any(open)
    }
}

impl Model for RequestModel {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        vec![System {
            server: Server::new(),
            pool: Pool::new(self.kind.calls),
            is_link_up: false,
            to_pool: VecDeque::new(),
            to_server: VecDeque::new(),
            last_written: None,
            breaks: 0,
        }]
    }

    fn actions(&self, state: &System, actions: &mut Vec<Step>) {
        actions.extend(STEPS.into_iter().filter(|step| state.allows(*step)));
    }

    fn next_state(&self, last: &System, step: Step) -> Option<System> {
        let mut state = last.clone();
        match step {
            Step::Issue => state.server.issue(),
            Step::ReadGauges => state.server.read_gauges(),
            Step::Write => state.write(),
            Step::CarryOut => state.carry_out_command(),
            Step::AdvanceRun => state.advance_run(),
            Step::Read => state.read(self),
            Step::Break => state.break_link(),
            Step::Bind => state.bind(),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        rules::properties()
    }
}
