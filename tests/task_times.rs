//! Task times in the log line of a stall: listed by name, longest first, and reset after each report.

use dunlinspread::server::task_times::TaskTimes;
use futures_lite::future::{block_on, yield_now};
use std::time::Duration;

#[test]
fn the_tasks_that_took_longest_come_first() {
    let times = TaskTimes::new(true);
    times.record("dispatcher", Duration::from_millis(400));
    times.record("listener", Duration::from_millis(30));
    times.record("dispatcher", Duration::from_millis(212));
    times.record("connection", Duration::from_millis(31));
    assert_eq!(
        times.take_report().to_string(),
        "dispatcher 612 ms in 2 turns, longest 400 ms; connection 31 ms in 1 turns, longest 31 ms; \
         listener 30 ms in 1 turns, longest 30 ms"
    );
    assert_eq!(times.take_report().to_string(), "");
}

#[test]
fn each_turn_of_a_measured_task_counts() {
    let times = TaskTimes::new(true);
    let result = block_on(times.measure("task", async {
        yield_now().await;
        yield_now().await;
        7
    }));
    assert_eq!(result, 7);
    assert!(times.take_report().to_string().contains("in 3 turns"));
    times.record("task", Duration::ZERO);
    times.reset();
    assert_eq!(times.take_report().to_string(), "");
}
