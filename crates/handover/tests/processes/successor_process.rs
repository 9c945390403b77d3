//! Model of a successor's process: its state machine, its keys, and the effects of its actions.

use crate::link::Link;
use crate::rules::{Rules, identity};
use dunlinspread_handover::{
    PROTOCOL_VERSION, Successor, SuccessorAction, SuccessorEvent, SuccessorInput, ToPredecessor, ToSuccessor,
};
use std::collections::BTreeSet;

/// State of a successor's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SuccessorProcess {
    pub alive: bool,
    pub machine: Successor,
    pub owner: bool,
    /// The keys that are known to have run.
    pub table: BTreeSet<u8>,
    /// Whether keys may have run that are missing from the table.
    pub keys_unknown: bool,
    pub timer_running: bool,
    pub can_serve_reported: bool,
    /// Whether the process is about to connect.
    pub connecting: bool,
    pub connections: u8,
    /// Whether this process has `link` open. The predecessor may still have it open after this process has
    /// lost it.
    pub linked: bool,
    pub link: Link,
    /// The keys of the piece that was just received.
    piece: Vec<u8>,
    /// The last action that was not allowed in its state, if there was one.
    pub disallowed_action: Option<&'static str>,
}

impl SuccessorProcess {
    pub fn new(rules: &Rules) -> Self {
        SuccessorProcess {
            alive: true,
            machine: Successor::with_fault(identity(), rules.successor_fault),
            owner: false,
            table: BTreeSet::new(),
            keys_unknown: false,
            timer_running: false,
            can_serve_reported: false,
            connecting: true,
            connections: 0,
            linked: false,
            link: Link::default(),
            piece: Vec::new(),
            disallowed_action: None,
        }
    }

    pub fn owns_keys(&self) -> bool {
        self.alive && self.owner
    }

    /// Returns whether an attempt of this key would begin a run at this process.
    pub fn would_run(&self, key: u8) -> bool {
        self.owns_keys() && !self.keys_unknown && !self.table.contains(&key)
    }

    pub fn receive(&mut self, frame: ToSuccessor) {
        let input = match frame {
            ToSuccessor::Welcome { version, .. } => SuccessorInput::Welcome { version },
            ToSuccessor::Refuse { reason } => SuccessorInput::Refuse { reason },
            ToSuccessor::Keys(records) => {
                self.piece = records.iter().map(|record| record.key[0]).collect();
                SuccessorInput::Keys { count: records.len() as u64 }
            }
            ToSuccessor::SnapshotEnd { keys } => SuccessorInput::SnapshotEnd { keys },
            ToSuccessor::Commit => SuccessorInput::Commit,
            ToSuccessor::KeysUnknown { .. } => {
                self.keys_unknown = true;
                return;
            }
            ToSuccessor::RunEnded { .. }
            | ToSuccessor::Request(_)
            | ToSuccessor::Cancel { .. }
            | ToSuccessor::RunsInProgress { .. } => return,
        };
        self.on_event(SuccessorEvent::Received(input));
        self.piece.clear();
    }

    pub fn on_event(&mut self, event: SuccessorEvent) {
        for action in self.machine.on_event(event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: SuccessorAction) {
        match action {
            SuccessorAction::SendHello => self.send(&ToPredecessor::Hello {
                version: PROTOCOL_VERSION,
                identity: self.machine.identity().clone(),
            }),
            SuccessorAction::SendRequestTransfer => self.send(&ToPredecessor::RequestTransfer),
            SuccessorAction::SendLoaded { keys } => self.send(&ToPredecessor::Loaded { keys }),
            SuccessorAction::LoadKeys => self.load_piece(),
            SuccessorAction::DiscardKeys => self.discard(),
            SuccessorAction::BecomeOwner => self.become_owner(),
            SuccessorAction::PredecessorGone => {
                if !self.owner {
                    self.disallowed_action = Some("end of the predecessor reported before the commit");
                }
            }
            SuccessorAction::Reconnect { .. } => self.connecting = true,
            SuccessorAction::GiveUp(_) => self.connecting = false,
            SuccessorAction::Disconnect => self.disconnect(),
            SuccessorAction::StartTimer { .. } => self.timer_running = true,
            SuccessorAction::StopTimer => self.timer_running = false,
        }
    }

    fn send(&mut self, frame: &ToPredecessor) {
        if self.linked {
            self.link.send_to_predecessor(frame);
        }
    }

    fn load_piece(&mut self) {
        if self.owner {
            self.disallowed_action = Some("keys loaded after the commit");
        }
        self.table.extend(self.piece.drain(..));
    }

    fn discard(&mut self) {
        if self.owner {
            self.disallowed_action = Some("keys discarded after the commit");
        }
        self.table.clear();
        self.keys_unknown = false;
    }

    fn become_owner(&mut self) {
        if self.owner {
            self.disallowed_action = Some("ownership taken twice");
        }
        self.owner = true;
    }

    fn disconnect(&mut self) {
        if self.owner {
            self.disallowed_action = Some("link closed after the commit");
        }
        if self.linked {
            self.link.close_by_successor();
            self.linked = false;
        }
    }
}
