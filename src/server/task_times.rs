//! Run times of the event loop's tasks by name, so that the log line of a stall shows which tasks took the
//! time. A turn of a task is one poll of its future.

use std::cell::RefCell;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::time::{Duration, Instant};

/// Environment variable that enables the timing of tasks.
const VARIABLE: &str = "DUNLINSPREAD_TASK_TIMES";
/// Largest number of task names in the text of a report, which lists those with the longest total time.
const MAX_REPORTED_TASKS: usize = 5;

/// Run time of all tasks with the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskTime {
    task: &'static str,
    /// Number of turns of these tasks.
    turns: u32,
    /// Total time of all turns.
    total: Duration,
    /// Time of the longest turn.
    longest: Duration,
}

/// Run times of the tasks since the last report or reset.
#[derive(Debug)]
pub struct TaskTimes {
    /// Whether turns are timed, which costs a clock reading before and after each turn.
    is_enabled: bool,
    times: RefCell<Vec<TaskTime>>,
}

/// Run times of the tasks in one reporting interval, ordered by total time, longest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskTimeReport {
    times: Vec<TaskTime>,
}

impl TaskTimes {
    /// Returns a recorder that is enabled if the environment variable `DUNLINSPREAD_TASK_TIMES` is set.
    pub fn from_environment() -> TaskTimes {
        TaskTimes::new(std::env::var_os(VARIABLE).is_some())
    }

    /// Returns a recorder that times turns only if `is_enabled`.
    pub fn new(is_enabled: bool) -> TaskTimes {
        TaskTimes { is_enabled, times: RefCell::default() }
    }

    /// Runs a task to completion, and records the time of each of its turns under the name `task`.
    pub async fn measure<T>(&self, task: &'static str, work: impl Future<Output = T>) -> T {
        if !self.is_enabled {
            return work.await;
        }
        let mut work = pin!(work);
        poll_fn(|context| {
            let started_at = Instant::now();
            let polled = work.as_mut().poll(context);
            self.record(task, started_at.elapsed());
            polled
        })
        .await
    }

    /// Records a turn of the task named `task`.
    pub fn record(&self, task: &'static str, elapsed: Duration) {
        let mut times = self.times.borrow_mut();
        let recorded = times.iter_mut().find(|time| time.task == task);
        match recorded {
            Some(time) => {
                time.turns = time.turns.saturating_add(1);
                time.total += elapsed;
                time.longest = time.longest.max(elapsed);
            }
            None => times.push(TaskTime { task, turns: 1, total: elapsed, longest: elapsed }),
        }
    }

    /// Clears all recorded times.
    pub fn reset(&self) {
        self.times.borrow_mut().clear();
    }

    /// Returns the recorded times, and clears them.
    pub fn take_report(&self) -> TaskTimeReport {
        let mut times = std::mem::take(&mut *self.times.borrow_mut());
        times.sort_by_key(|time| std::cmp::Reverse(time.total));
        TaskTimeReport { times }
    }
}

impl fmt::Display for TaskTimeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, time) in self.times.iter().take(MAX_REPORTED_TASKS).enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            let (total_ms, longest_ms) = (time.total.as_millis(), time.longest.as_millis());
            write!(
                f,
                "{separator}{} {total_ms} ms in {} turns, longest {longest_ms} ms",
                time.task, time.turns
            )?;
        }
        Ok(())
    }
}
