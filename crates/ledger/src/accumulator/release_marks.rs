//! Marks of held replies: which have been given, and up to which replies were released.

use super::action::Action;

/// The marks of held replies.
///
/// # Invariants
/// Marks rise by one; none is released twice.
#[derive(Debug, Default)]
pub(super) struct ReleaseMarks {
    last_given: u64,
    last_released: u64,
}

impl ReleaseMarks {
    /// Gives the next mark to a reply that is held.
    pub(super) fn give(&mut self) -> u64 {
        self.last_given += 1;
        self.last_given
    }

    /// Returns the last mark that was given.
    pub(super) fn last_given(&self) -> u64 {
        self.last_given
    }

    /// Releases the replies up to this mark that are still held.
    pub(super) fn release(&mut self, mark: u64, actions: &mut Vec<Action>) {
        if mark > self.last_released {
            self.last_released = mark;
            actions.push(Action::Release(mark));
        }
    }

    /// Releases all replies that are held.
    pub(super) fn release_all(&mut self, actions: &mut Vec<Action>) {
        self.release(self.last_given, actions);
    }
}
