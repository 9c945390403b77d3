//! The clock of the tasks, and a timer that costs little to move.

use crate::resource::Millis;
use async_io::Timer;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts it, well after 0 so that an earlier time than now can be told.
    pub(super) fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Now.
    pub(super) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at)
    }
}

/// The time of day, Unix ms.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A timer for the next time at which something is due. Moving the due time away, as each message does, leaves the timer
/// as it is: it then rings too early, once, and is set anew.
pub(super) struct Alarm {
    clock: Clock,
    timer: Timer,
    armed_at: Option<Millis>,
}

impl Alarm {
    /// One that does not ring.
    pub(super) fn new(clock: Clock) -> Alarm {
        Alarm { clock, timer: Timer::never(), armed_at: None }
    }

    /// Rings at `due` at the latest.
    pub(super) fn set(&mut self, due: Millis) {
        if self.armed_at.is_none_or(|armed_at| due < armed_at) {
            self.timer.set_at(self.clock.instant(due));
            self.armed_at = Some(due);
        }
    }

    /// Waits until it rings. May be dropped and called again.
    pub(super) async fn rings(&mut self) {
        (&mut self.timer).await;
        self.armed_at = None;
    }
}
