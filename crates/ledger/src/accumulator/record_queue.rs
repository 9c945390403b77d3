//! The records that are not durable yet, in the order of their numbers.

use super::action::Action;
use std::collections::VecDeque;

/// What is reported once a record is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OnDurable {
    /// Nothing but the release of replies.
    Nothing,
    /// [`Action::PeriodsClosed`].
    PeriodsClosed,
    /// [`Action::EntryDurable`] with this tag.
    Entry(u64),
}

impl OnDurable {
    /// Returns what is reported of the record with this number.
    pub(super) fn action(self, number: u64) -> Option<Action> {
        match self {
            OnDurable::Nothing => None,
            OnDurable::PeriodsClosed => Some(Action::PeriodsClosed(number)),
            OnDurable::Entry(tag) => Some(Action::EntryDurable { tag, number }),
        }
    }
}

/// A record that is not durable yet.
#[derive(Debug)]
pub(super) struct PendingRecord {
    bytes: Vec<u8>,
    /// The line's number.
    pub(super) number: u64,
    /// Replies up to this mark may be sent once the record is durable; 0 for none.
    pub(super) release_mark: u64,
    /// Requests counted in it.
    pub(super) requests: u64,
    /// What is reported then.
    pub(super) on_durable: OnDurable,
}

/// The records from the oldest that is not durable on.
///
/// # Invariants
/// Numbers follow one another; the first `handed_over` records are with the store, the others are not.
#[derive(Debug)]
pub(super) struct RecordQueue {
    records: VecDeque<PendingRecord>,
    handed_over: usize,
    next_number: u64,
}

impl RecordQueue {
    /// Returns an empty queue whose first record gets this number.
    pub(super) fn new(next_number: u64) -> RecordQueue {
        RecordQueue { records: VecDeque::new(), handed_over: 0, next_number }
    }

    /// Returns the number that the next record gets.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns the records that are not durable.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns their bytes.
    pub(super) fn bytes(&self) -> usize {
        self.records.iter().map(|record| record.bytes.len()).sum()
    }

    /// Returns whether the store has no record to write.
    pub(super) fn store_is_idle(&self) -> bool {
        self.handed_over == 0
    }

    /// Adds a record at the end.
    pub(super) fn push(&mut self, bytes: Vec<u8>, requests: u64, on_durable: OnDurable) {
        let number = self.next_number;
        self.records.push_back(PendingRecord { bytes, number, release_mark: 0, requests, on_durable });
        self.next_number += 1;
    }

    /// Has the last record release the replies up to this mark.
    pub(super) fn set_last_release_mark(&mut self, mark: u64) {
        if let Some(last) = self.records.back_mut() {
            last.release_mark = mark;
        }
    }

    /// Hands the store the records that it does not have.
    pub(super) fn hand_over_all(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.records.iter().skip(self.handed_over);
        actions.extend(waiting.map(|record| Action::Append(record.bytes.clone())));
        self.handed_over = self.records.len();
    }

    /// Hands the store the oldest record alone, to try whether it takes records again.
    pub(super) fn hand_over_first(&mut self, actions: &mut Vec<Action>) {
        if let Some(first) = self.records.front() {
            actions.push(Action::Append(first.bytes.clone()));
            self.handed_over = 1;
        }
    }

    /// Removes the oldest record, which is durable.
    pub(super) fn pop_durable(&mut self) -> Option<PendingRecord> {
        let record = self.records.pop_front()?;
        self.handed_over = self.handed_over.saturating_sub(1);
        Some(record)
    }

    /// Takes back `count` records that the store did not write; they wait to be handed over again.
    pub(super) fn take_back(&mut self, count: usize) {
        self.handed_over = self.handed_over.saturating_sub(count);
    }
}
