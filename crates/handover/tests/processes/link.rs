//! Model of a link: a queue of encoded frames for each direction, and whether each end is closed.

use dunlinspread_handover::{ToPredecessor, ToSuccessor};
use std::collections::VecDeque;

/// Link between the predecessor and one successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Link {
    to_predecessor: VecDeque<Vec<u8>>,
    to_successor: VecDeque<Vec<u8>>,
    /// Whether the predecessor's end is closed: by the process, by its crash, or by a cut of the link.
    pub closed_by_predecessor: bool,
    /// Whether the successor's end is closed: by the process, by its crash, or by a cut of the link.
    pub closed_by_successor: bool,
}

impl Link {
    pub fn send_to_predecessor(&mut self, frame: &ToPredecessor) {
        if !self.closed_by_predecessor {
            self.to_predecessor.push_back(frame.encode());
        }
    }

    pub fn send_to_successor(&mut self, frame: &ToSuccessor) {
        if !self.closed_by_successor {
            self.to_successor.push_back(frame.encode());
        }
    }

    pub fn has_frame_for_predecessor(&self) -> bool {
        !self.to_predecessor.is_empty()
    }

    pub fn has_frame_for_successor(&self) -> bool {
        !self.to_successor.is_empty()
    }

    pub fn read_at_predecessor(&mut self) -> Option<ToPredecessor> {
        let bytes = self.to_predecessor.pop_front()?;
        Some(ToPredecessor::decode(&bytes).expect("an encoded frame can be decoded"))
    }

    pub fn read_at_successor(&mut self) -> Option<ToSuccessor> {
        let bytes = self.to_successor.pop_front()?;
        Some(ToSuccessor::decode(&bytes).expect("an encoded frame can be decoded"))
    }

    /// Closes the predecessor's end. Frames that it has not read are lost; frames that it sent can still be
    /// read.
    pub fn close_by_predecessor(&mut self) {
        self.closed_by_predecessor = true;
        self.to_predecessor.clear();
    }

    /// Closes the successor's end. Frames that it has not read are lost; frames that it sent can still be
    /// read.
    pub fn close_by_successor(&mut self) {
        self.closed_by_successor = true;
        self.to_successor.clear();
    }

    /// Closes both ends. All frames in transit are lost.
    pub fn cut(&mut self) {
        self.close_by_predecessor();
        self.close_by_successor();
    }
}
