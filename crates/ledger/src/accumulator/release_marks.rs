//! Marks that identify held replies in the order in which they were billed, and the progress of their
//! release.

use super::action::Action;

/// The marks assigned to held replies, and the mark up to which replies have been released.
///
/// # Invariants
/// Marks increase by one, and no mark is released twice.
#[derive(Debug, Default)]
pub(super) struct ReleaseMarks {
    last_assigned: u64,
    last_released: u64,
}

impl ReleaseMarks {
    /// Assigns the next mark to a held reply, and returns the mark.
    pub(super) fn next_mark(&mut self) -> u64 {
        self.last_assigned += 1;
        self.last_assigned
    }

    /// Returns the most recently assigned mark; 0 if there is none.
    pub(super) fn last_mark(&self) -> u64 {
        self.last_assigned
    }

    /// Releases all replies up to this mark that are still held.
    pub(super) fn release(&mut self, mark: u64, actions: &mut Vec<Action>) {
        if mark > self.last_released {
            self.last_released = mark;
            actions.push(Action::Release(mark));
        }
    }

    /// Releases all held replies.
    pub(super) fn release_all(&mut self, actions: &mut Vec<Action>) {
        self.release(self.last_assigned, actions);
    }
}
