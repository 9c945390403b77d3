//! [`TimerQueue`]: the pending timers of the SWIM state machine.

use crate::member::MemberId;
use crate::settings::Millis;
use foca::Timer;
use std::collections::BTreeMap;

/// Pending timers, ordered by due time and then by insertion.
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Millis, u64), Timer<MemberId>>,
    last_sequence: u64,
    capacity: usize,
}

impl TimerQueue {
    /// Returns an empty queue for at most `capacity` timers.
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

    /// Returns the due time of the next timer, if there is one.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.keys().next().map(|(due, _)| *due)
    }
}
