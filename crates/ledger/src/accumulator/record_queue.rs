//! Queue of the records that are not durable yet, in the order of their line numbers.

use super::action::Action;
use std::collections::VecDeque;

/// The report to the owner of the accumulator once a record is durable, in addition to the release of
/// replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OnDurable {
    /// No report.
    Nothing,
    /// An [`Action::PeriodsClosed`].
    PeriodsClosed,
    /// An [`Action::EntryDurable`] with this tag.
    Entry(u64),
}

impl OnDurable {
    /// Returns the action that reports the record with this number.
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
    /// Number of the line.
    pub(super) number: u64,
    /// Replies up to this mark may be sent once the record is durable; 0 if it releases no replies.
    pub(super) release_mark: u64,
    /// Number of requests counted in the record.
    pub(super) requests: u64,
    /// Report once the record is durable.
    pub(super) on_durable: OnDurable,
}

/// All records that are not durable yet, oldest first.
///
/// # Invariants
/// Record numbers are consecutive. The first `handed_over` records have been handed over to the store, the
/// others have not.
#[derive(Debug)]
pub(super) struct RecordQueue {
    records: VecDeque<PendingRecord>,
    handed_over: usize,
    next_number: u64,
}

impl RecordQueue {
    /// Returns an empty queue whose first record will have this number.
    pub(super) fn new(next_number: u64) -> RecordQueue {
        RecordQueue { records: VecDeque::new(), handed_over: 0, next_number }
    }

    /// Returns the number of the next record.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns the number of records that are not durable yet.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the total size of the queued records, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.records.iter().map(|record| record.bytes.len()).sum()
    }

    /// Returns whether the store has no records left to write.
    pub(super) fn store_is_idle(&self) -> bool {
        self.handed_over == 0
    }

    /// Appends a record to the queue.
    pub(super) fn push(&mut self, bytes: Vec<u8>, requests: u64, on_durable: OnDurable) {
        let number = self.next_number;
        self.records.push_back(PendingRecord { bytes, number, release_mark: 0, requests, on_durable });
        self.next_number += 1;
    }

    /// Sets the mark up to which the last record releases replies.
    pub(super) fn set_last_release_mark(&mut self, mark: u64) {
        if let Some(last) = self.records.back_mut() {
            last.release_mark = mark;
        }
    }

    /// Hands over all waiting records to the store.
    pub(super) fn hand_over_all(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.records.iter().skip(self.handed_over);
        actions.extend(waiting.map(|record| Action::Append(record.bytes.clone())));
        self.handed_over = self.records.len();
    }

    /// Hands over only the oldest record, to test whether the store can write again.
    pub(super) fn hand_over_first(&mut self, actions: &mut Vec<Action>) {
        if let Some(first) = self.records.front() {
            actions.push(Action::Append(first.bytes.clone()));
            self.handed_over = 1;
        }
    }

    /// Removes and returns the oldest record, which is now durable.
    pub(super) fn pop_durable(&mut self) -> Option<PendingRecord> {
        let record = self.records.pop_front()?;
        self.handed_over = self.handed_over.saturating_sub(1);
        Some(record)
    }

    /// Marks `count` records as not written by the store, so that they are handed over again.
    pub(super) fn take_back(&mut self, count: usize) {
        self.handed_over = self.handed_over.saturating_sub(count);
    }
}
