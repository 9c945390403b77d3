//! Times of due answers on a machine that lags: only a repeated lag of the timer moves them.
mod common;
use common::{Driver, answers, settings};
use dunlinspread::{Arrival, Event};

/// Guards against final answers after the deadline on a machine that lags: the timer fires late, and the
/// answers that it sends are written late.
#[test]
fn what_is_due_is_answered_earlier_by_the_lag_of_the_timer() {
    const LAG_MS: f64 = 200.0;
    const LATE_TIMERS: usize = 4;
    let mut driver = Driver::new(settings());
    let (id, _) = driver.arrive(1);
    for _ in 0..LATE_TIMERS {
        driver.now += LAG_MS;
        driver.tick(1.0, 2.0);
    }
    let (other, _) = driver.arrive(1);
    let due_at = 3000.0;
    let mut answered_at = None;
    while driver.now < due_at {
        driver.now += LAG_MS;
        if answers(&driver.tick(1.0, 2.0), id) == 1 {
            answered_at = Some(driver.now);
        }
    }
    let written_at = answered_at.expect("an answer by its deadline") + LAG_MS;
    assert!(written_at <= due_at, "written at {written_at} ms");
    assert!(written_at >= due_at - 3.0 * (LAG_MS + 50.0), "answered far too early, at {answered_at:?} ms");
    let actions = driver.run_until(2950.0 + 4.0 * (LAG_MS + 50.0));
    assert_eq!(answers(&actions, other), 1);
}

/// A suspension of the process is over when its timer fires, so requests that are due later are answered at
/// their usual time.
#[test]
fn a_single_late_timer_moves_no_answer() {
    const SUSPENDED_MS: f64 = 1000.0;
    let mut driver = Driver::new(settings());
    let (id, _) = driver.arrive(1);
    driver.now += SUSPENDED_MS;
    assert_eq!(answers(&driver.run_until(2850.0), id), 0);
    assert_eq!(answers(&driver.run_until(2990.0), id), 1);
}

/// The time for which a worker pool was up before the server started does not count as lag.
#[test]
fn a_start_beside_an_older_worker_pool_is_no_lag() {
    const POOL_UP_MS: f64 = 5000.0;
    let mut driver = Driver::new(settings());
    driver.now = POOL_UP_MS;
    driver.tick(1.0, 2.0);
    let due_at = driver.now + 400.0;
    let arrival = Arrival { deadline: Some(due_at), ..driver.arrival(1) };
    let id = arrival.id;
    driver.send(Event::Arrival(arrival));
    assert_eq!(answers(&driver.run_until(due_at - 150.0), id), 0);
    assert_eq!(answers(&driver.run_until(due_at), id), 1);
}
