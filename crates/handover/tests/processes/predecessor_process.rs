//! Model of the predecessor's process: its state machine, its keys, and the effects of its actions.

use crate::link::Link;
use crate::rules::{FIRST_KEYS, Rules, identity};
use dunlinspread_handover::{
    KeyRecord, PROTOCOL_VERSION, Predecessor, PredecessorAction, PredecessorEvent, PredecessorInput,
    RunRecord, RunRecordState, ToPredecessor, ToSuccessor,
};
use std::collections::BTreeSet;

/// How the process handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The process decides on requests.
    Deciding,
    /// The process owns the keys and holds the requests.
    Frozen,
    /// The process forwards the requests.
    Forwarding,
}

/// State of the predecessor's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PredecessorProcess {
    pub alive: bool,
    pub machine: Predecessor,
    pub mode: Mode,
    /// The keys that are known to have run.
    pub table: BTreeSet<u8>,
    /// Whether keys may have run that are missing from the table.
    pub keys_unknown: bool,
    pub timer_running: bool,
    pub shutdown_requested: bool,
    /// The number of the linked successor, if there is one.
    pub linked_to: Option<usize>,
    /// The last action that was not allowed in its state, if there was one.
    pub disallowed_action: Option<&'static str>,
}

impl PredecessorProcess {
    pub fn new(rules: &Rules) -> Self {
        PredecessorProcess {
            alive: true,
            machine: Predecessor::with_fault(identity(), rules.predecessor_fault),
            mode: Mode::Deciding,
            table: FIRST_KEYS.into(),
            keys_unknown: false,
            timer_running: false,
            shutdown_requested: false,
            linked_to: None,
            disallowed_action: None,
        }
    }

    pub fn owns_keys(&self) -> bool {
        self.alive && self.mode != Mode::Forwarding
    }

    /// Returns whether an attempt of this key would begin a run at this process.
    pub fn would_run(&self, key: u8) -> bool {
        self.alive && self.mode == Mode::Deciding && !self.keys_unknown && !self.table.contains(&key)
    }

    pub fn receive(&mut self, frame: ToPredecessor, rules: &Rules, link: &mut Link) {
        let input = match frame {
            ToPredecessor::Hello { version, identity } => PredecessorInput::Hello { version, identity },
            ToPredecessor::RequestTransfer => PredecessorInput::RequestTransfer,
            ToPredecessor::Loaded { keys } => PredecessorInput::Loaded { keys },
            ToPredecessor::Response(_) | ToPredecessor::Health { .. } => return,
        };
        self.on_event(PredecessorEvent::Received(input), rules, link);
    }

    pub fn on_event(&mut self, event: PredecessorEvent, rules: &Rules, link: &mut Link) {
        for action in self.machine.on_event(event) {
            self.perform(action, rules, link);
        }
    }

    fn perform(&mut self, action: PredecessorAction, rules: &Rules, link: &mut Link) {
        match action {
            PredecessorAction::SendWelcome => link.send_to_successor(&welcome()),
            PredecessorAction::SendRefusal(reason) => link.send_to_successor(&ToSuccessor::Refuse { reason }),
            PredecessorAction::Freeze => self.change_mode(Mode::Deciding, Mode::Frozen, "freeze"),
            PredecessorAction::SendSnapshot => self.send_snapshot(rules, link),
            PredecessorAction::SendCommit => link.send_to_successor(&ToSuccessor::Commit),
            PredecessorAction::HandOver => self.change_mode(Mode::Frozen, Mode::Forwarding, "hand over"),
            PredecessorAction::Resume => self.change_mode(Mode::Frozen, Mode::Deciding, "resume"),
            PredecessorAction::TakeBack => {
                self.change_mode(Mode::Forwarding, Mode::Deciding, "take back");
                self.keys_unknown = true;
            }
            PredecessorAction::Disconnect => {
                link.close_by_predecessor();
                self.linked_to = None;
            }
            PredecessorAction::StartTimer { .. } => self.timer_running = true,
            PredecessorAction::StopTimer => self.timer_running = false,
        }
    }

    fn change_mode(&mut self, from: Mode, to: Mode, name: &'static str) {
        if self.mode != from {
            self.disallowed_action = Some(name);
        }
        self.mode = to;
    }

    fn send_snapshot(&mut self, rules: &Rules, link: &mut Link) {
        for key in &self.table {
            link.send_to_successor(&ToSuccessor::Keys(vec![record(*key)]));
        }
        if self.keys_unknown && rules.sends_keys_unknown {
            link.send_to_successor(&ToSuccessor::KeysUnknown { until: 1.0 });
        }
        let keys = self.table.len() as u64;
        link.send_to_successor(&ToSuccessor::SnapshotEnd { keys });
        self.machine.snapshot_sent(keys);
    }
}

fn welcome() -> ToSuccessor {
    ToSuccessor::Welcome { version: PROTOCOL_VERSION, body_hash_key: [7; 32], evacuated: false }
}

fn record(key: u8) -> KeyRecord {
    let run = RunRecord { attempt: 1, body_hash: 2, window_end: 3.0, state: RunRecordState::Running };
    KeyRecord { key: vec![key], class: 0, run: Some(run), previous_window_end: None }
}
