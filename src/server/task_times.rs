//! How long the tasks of the event loop ran, by name, so that the log line of a stall says what took the time.

use std::cell::RefCell;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::time::{Duration, Instant};

/// The variable that has the turns of tasks timed.
const VARIABLE: &str = "DUNLINSPREAD_TASK_TIMES";
/// Names of tasks in the text of a report, those that took longest first.
const MAX_REPORTED_TASKS: usize = 5;

/// The time that the tasks of one name took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskTime {
    task: &'static str,
    /// Turns of these tasks.
    turns: u32,
    /// The time of all turns together.
    total: Duration,
    /// The time of the longest turn.
    longest: Duration,
}

/// The times of the tasks since the last report.
#[derive(Debug)]
pub struct TaskTimes {
    /// Whether turns are timed; a reading of the clock before and after each turn has a price.
    is_enabled: bool,
    times: RefCell<Vec<TaskTime>>,
}

/// What the tasks took from one report to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskTimeReport {
    times: Vec<TaskTime>,
}

impl TaskTimes {
    /// Returns times that are counted if the environment asks for it.
    pub fn from_environment() -> TaskTimes {
        TaskTimes::new(std::env::var_os(VARIABLE).is_some())
    }

    /// Returns times that are counted if this is enabled.
    pub fn new(is_enabled: bool) -> TaskTimes {
        TaskTimes { is_enabled, times: RefCell::default() }
    }

    /// Runs a task of this name to its end, and counts the time of each of its turns.
    pub async fn measure<T>(&self, task: &'static str, work: impl Future<Output = T>) -> T {
        if !self.is_enabled {
            return work.await;
        }
        let mut work = pin!(work);
        poll_fn(|context| {
            let began = Instant::now();
            let polled = work.as_mut().poll(context);
            self.record(task, began.elapsed());
            polled
        })
        .await
    }

    /// Counts a turn of a task of this name.
    pub fn record(&self, task: &'static str, took: Duration) {
        let mut times = self.times.borrow_mut();
        let known = times.iter_mut().find(|time| time.task == task);
        match known {
            Some(time) => {
                time.turns = time.turns.saturating_add(1);
                time.total += took;
                time.longest = time.longest.max(took);
            }
            None => times.push(TaskTime { task, turns: 1, total: took, longest: took }),
        }
    }

    /// Counts from zero again.
    pub fn reset(&self) {
        self.times.borrow_mut().clear();
    }

    /// Returns what was counted, and counts from zero again.
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
