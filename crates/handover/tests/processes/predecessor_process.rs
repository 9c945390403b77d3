//! The predecessor's process: its machine, its keys, and what its actions do.

use crate::link::Link;
use crate::rules::{FIRST_KEYS, Rules, identity};
use dunlinspread_handover::{
    KeyRecord, PROTOCOL_VERSION, Predecessor, PredecessorAction, PredecessorEvent, PredecessorInput,
    RunRecord, RunRecordState, ToPredecessor, ToSuccessor,
};
use std::collections::BTreeSet;

/// What the process does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// It decides.
    Deciding,
    /// It owns the keys and holds the requests.
    Frozen,
    /// It passes the requests on.
    Forwarding,
}

/// The predecessor's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PredecessorProcess {
    pub alive: bool,
    pub machine: Predecessor,
    pub mode: Mode,
    /// The keys that it knows to have run.
    pub table: BTreeSet<u8>,
    /// Whether keys may have run that are not in the table.
    pub keys_unknown: bool,
    pub timer: bool,
    pub shutdown_requested: bool,
    /// The successor whose link it has.
    pub linked_to: Option<usize>,
    /// An action that had no place, if there was one.
    pub misplaced: Option<&'static str>,
}

impl PredecessorProcess {
    pub fn new(rules: &Rules) -> Self {
        PredecessorProcess {
            alive: true,
            machine: Predecessor::with_fault(identity(), rules.predecessor_fault),
            mode: Mode::Deciding,
            table: FIRST_KEYS.into(),
            keys_unknown: false,
            timer: false,
            shutdown_requested: false,
            linked_to: None,
            misplaced: None,
        }
    }

    pub fn owns_keys(&self) -> bool {
        self.alive && self.mode != Mode::Forwarding
    }

    /// Whether an attempt of this key begins a run here.
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
            self.carry_out(action, rules, link);
        }
    }

    fn carry_out(&mut self, action: PredecessorAction, rules: &Rules, link: &mut Link) {
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
            PredecessorAction::StartTimer { .. } => self.timer = true,
            PredecessorAction::StopTimer => self.timer = false,
        }
    }

    fn change_mode(&mut self, from: Mode, to: Mode, name: &'static str) {
        if self.mode != from {
            self.misplaced = Some(name);
        }
        self.mode = to;
    }

    fn send_snapshot(&mut self, rules: &Rules, link: &mut Link) {
        for key in &self.table {
            link.send_to_successor(&ToSuccessor::Keys(vec![record(*key)]));
        }
        if self.keys_unknown && rules.tells_unknown_keys {
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
