//! The monotonic clock of the tasks, and a timer that is cheap to postpone.

use crate::resource::Millis;
use async_io::Timer;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock whose time 0 is the present moment.
    pub(super) fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the clock was started.
    pub(super) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A timer for the next due time. Postponing the due time, as each message does, leaves the timer unchanged:
/// it then fires once too early and is set again.
pub(super) struct Alarm {
    clock: Clock,
    timer: Timer,
    armed_at: Option<Millis>,
}

impl Alarm {
    /// Creates an alarm that is not armed and doesn't fire.
    pub(super) fn new(clock: Clock) -> Alarm {
        Alarm { clock, timer: Timer::never(), armed_at: None }
    }

    /// Makes the alarm fire at `due` at the latest.
    pub(super) fn set(&mut self, due: Millis) {
        if self.armed_at.is_none_or(|armed_at| due < armed_at) {
            self.timer.set_at(self.clock.instant(due));
            self.armed_at = Some(due);
        }
    }

    /// Waits until the alarm fires. The future may be dropped and the method called again.
    pub(super) async fn fired(&mut self) {
        (&mut self.timer).await;
        self.armed_at = None;
    }
}
