//! The worker pool of the model.

use super::server::Command;
use dunlinspread::server::messages::CommandNumber;
use std::collections::BTreeSet;

/// A run in the worker pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Run {
    /// There is no run, and there was none.
    None,
    /// The run works, after this many calls.
    Working(u64),
    /// The run waits for the reply to the call of this number, which the notice of this number requested.
    AtCall { call: u64, notice: u64 },
    /// The run has ended.
    Ended,
}

/// A numbered notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    CallNeeded { call: u64 },
    Ended,
}

/// The worker pool, with all notices that it has sent; the first has the number 1.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// Number of upstream calls of a run.
    calls: u64,
    pub run: Run,
    pub runs_started: u64,
    /// Whether a run took the reply to another call than the one that it waited for.
    pub took_wrong_reply: bool,
    pub notices: Vec<Notice>,
    pub carried_out: BTreeSet<CommandNumber>,
}

impl Pool {
    pub fn new(calls: u64) -> Pool {
        Pool {
            calls,
            run: Run::None,
            runs_started: 0,
            took_wrong_reply: false,
            notices: Vec::new(),
            carried_out: BTreeSet::new(),
        }
    }

    /// Carries out a command for the run.
    pub fn carry_out(&mut self, number: CommandNumber, command: Command) {
        self.carried_out.insert(number);
        match (command, self.run) {
            (Command::Run, Run::None | Run::Ended) => {
                self.runs_started += 1;
                self.run = Run::Working(0);
            }
            (Command::Reply { call: replied, .. }, Run::AtCall { call, .. }) => {
                self.took_wrong_reply |= replied != call;
                self.run = Run::Working(call);
            }
            (Command::Skip { notice: skipped }, Run::AtCall { call, notice }) if skipped == notice => {
                self.run = Run::Working(call);
            }
            _ => {}
        }
    }

    /// Takes the run to its next call or its end, if it works.
    pub fn advance_run(&mut self) {
        let Run::Working(calls_made) = self.run else { return };
        if calls_made == self.calls {
            self.run = Run::Ended;
            return self.notices.push(Notice::Ended);
        }
        let call = calls_made + 1;
        self.notices.push(Notice::CallNeeded { call });
        self.run = Run::AtCall { call, notice: self.notices.len() as u64 };
    }
}
