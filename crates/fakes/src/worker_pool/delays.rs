//! The times at which the worker pools of a machine were stalled, measured by a timer of each that fired
//! late.

use crate::clock::unix_ms;
use async_io::Timer;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two checks of the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum delay that is recorded.
const MIN_DELAY: Duration = Duration::from_millis(15);

/// The delays of all worker pools of a machine.
#[derive(Clone, Default)]
pub(crate) struct Delays(Arc<Mutex<Vec<Range<u64>>>>);

impl Delays {
    /// Records the delays of the current thread; never returns.
    pub async fn record(self) {
        loop {
            let due = Instant::now() + CHECK_INTERVAL;
            Timer::at(due).await;
            let delay = due.elapsed();
            if delay >= MIN_DELAY {
                let now_ms = unix_ms();
                let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
                self.lock().push(now_ms.saturating_sub(delay_ms)..now_ms);
            }
        }
    }

    /// Returns the time spans of all recorded delays, Unix ms.
    pub fn all(&self) -> Vec<Range<u64>> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Range<u64>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
