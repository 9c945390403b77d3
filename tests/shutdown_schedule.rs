//! The steps of a shutdown in virtual time: their order, and the time that they reserve for the measured lag
//! of the event loop.

use dunlinspread::daemon::shutdown_schedule::ShutdownSchedule;
use proptest::prelude::*;
use std::time::Duration;

/// Returns the maximum lag for which a shutdown of this length reserves time, ms.
fn max_lag_ms(stop_ms: f64) -> f64 {
    250.0_f64.min(stop_ms / 8.0)
}

proptest! {
    /// An event loop that reaches each step late by no more than the measured lag exits before the kill.
    #[test]
    fn a_lag_that_was_seen_leaves_the_end_before_the_kill(
        requested_at in 0.0..1e12_f64, stop_ms in 600.0..60_000.0_f64, part in 0.0..=1.0_f64,
    ) {
        let lag_ms = part * max_lag_ms(stop_ms);
        let schedule = ShutdownSchedule::new(requested_at, Duration::from_secs_f64(stop_ms / 1000.0), lag_ms);
        prop_assert!(schedule.exit_at() + lag_ms < requested_at + stop_ms);
    }

    /// With any lag, the steps keep their order, and the admission controller has at least seven eighths of
    /// the time minus its margin.
    #[test]
    fn the_steps_keep_their_order_at_any_lag(
        requested_at in 0.0..1e12_f64, stop_ms in 600.0..60_000.0_f64, lag_ms in 0.0..1e7_f64,
    ) {
        let schedule = ShutdownSchedule::new(requested_at, Duration::from_secs_f64(stop_ms / 1000.0), lag_ms);
        let times = [
            schedule.close_at(),
            schedule.respond_by(),
            schedule.finish_at(),
            schedule.exit_at(),
        ];
        prop_assert!(times.is_sorted(), "{times:?}");
        prop_assert!(schedule.respond_by() - requested_at >= stop_ms * 7.0 / 8.0 - 100.0 - 1.0);
    }
}
