//! The timers that the SWIM state machine waits for.

use crate::member::MemberId;
use crate::settings::Millis;
use foca::Timer;
use std::collections::BTreeMap;

/// Timers by the time at which they are due, and by the order in which they were added.
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Millis, u64), Timer<MemberId>>,
    last_sequence: u64,
    capacity: usize,
}

impl TimerQueue {
    /// Returns an empty queue for so many timers.
    pub fn new(capacity: usize) -> TimerQueue {
        TimerQueue { timers: BTreeMap::new(), last_sequence: 0, capacity }
    }

    /// Adds a timer, and returns whether there was room for it.
    pub fn push(&mut self, due: Millis, timer: Timer<MemberId>) -> bool {
        if self.timers.len() >= self.capacity {
            return false;
        }
        self.last_sequence += 1;
        self.timers.insert((due, self.last_sequence), timer);
        true
    }

    /// Removes and returns the first timer that is due by `now`.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer<MemberId>> {
        let entry = self.timers.first_entry()?;
        let (due, _) = *entry.key();
        (due <= now).then(|| entry.remove())
    }

    /// Returns when the next timer is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.keys().next().map(|(due, _)| *due)
    }
}
