//! A successor's process: its machine, its keys, and what its actions do.

use crate::link::Link;
use crate::rules::{Rules, identity};
use dunlinspread_handover::{
    PROTOCOL_VERSION, Successor, SuccessorAction, SuccessorEvent, SuccessorInput, ToPredecessor, ToSuccessor,
};
use std::collections::BTreeSet;

/// A successor's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SuccessorProcess {
    pub alive: bool,
    pub machine: Successor,
    pub owner: bool,
    /// The keys that it knows to have run.
    pub table: BTreeSet<u8>,
    /// Whether keys may have run that are not in the table.
    pub keys_unknown: bool,
    pub timer: bool,
    pub told_can_serve: bool,
    /// Whether it is about to connect.
    pub connecting: bool,
    pub connections: u8,
    /// Whether it has the link below; the predecessor may still have it when the successor has not.
    pub linked: bool,
    pub link: Link,
    /// The records of the piece that just came.
    piece: Vec<u8>,
    /// An action that had no place, if there was one.
    pub misplaced: Option<&'static str>,
}

impl SuccessorProcess {
    pub fn new(rules: &Rules) -> Self {
        SuccessorProcess {
            alive: true,
            machine: Successor::with_fault(identity(), rules.successor_fault),
            owner: false,
            table: BTreeSet::new(),
            keys_unknown: false,
            timer: false,
            told_can_serve: false,
            connecting: true,
            connections: 0,
            linked: false,
            link: Link::default(),
            piece: Vec::new(),
            misplaced: None,
        }
    }

    pub fn owns_keys(&self) -> bool {
        self.alive && self.owner
    }

    /// Whether an attempt of this key begins a run here.
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
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: SuccessorAction) {
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
                    self.misplaced = Some("predecessor gone before the commit");
                }
            }
            SuccessorAction::Reconnect { .. } => self.connecting = true,
            SuccessorAction::GiveUp(_) => self.connecting = false,
            SuccessorAction::Disconnect => self.disconnect(),
            SuccessorAction::StartTimer { .. } => self.timer = true,
            SuccessorAction::StopTimer => self.timer = false,
        }
    }

    fn send(&mut self, frame: &ToPredecessor) {
        if self.linked {
            self.link.send_to_predecessor(frame);
        }
    }

    fn load_piece(&mut self) {
        if self.owner {
            self.misplaced = Some("keys loaded after the commit");
        }
        self.table.extend(self.piece.drain(..));
    }

    fn discard(&mut self) {
        if self.owner {
            self.misplaced = Some("keys discarded after the commit");
        }
        self.table.clear();
        self.keys_unknown = false;
    }

    fn become_owner(&mut self) {
        if self.owner {
            self.misplaced = Some("owner twice");
        }
        self.owner = true;
    }

    fn disconnect(&mut self) {
        if self.owner {
            self.misplaced = Some("link closed after the commit");
        }
        if self.linked {
            self.link.close_by_successor();
            self.linked = false;
        }
    }
}
