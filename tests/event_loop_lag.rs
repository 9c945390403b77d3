//! Tests, in virtual time, of the greatest lag of the event loop, which decays with its age.

use dunlinspread::server::event_loop_lag::EventLoopLag;
use proptest::prelude::*;

/// Time in which the recorded lag decays to half, ms.
const HALF_LIFE_MS: f64 = 30_000.0;
/// Tolerance for floating-point errors.
const SLACK: f64 = 1e-6;

#[test]
fn a_loop_that_was_not_observed_has_no_lag() {
    assert!(EventLoopLag::default().greatest_ms(1e12).abs() < SLACK);
}

#[test]
fn a_lag_is_halved_in_each_half_life_and_hides_smaller_ones() {
    let mut lag = EventLoopLag::default();
    lag.observe(1000.0, 160.0);
    lag.observe(1005.0, 1.0);
    assert!((lag.greatest_ms(1000.0 + HALF_LIFE_MS) - 80.0).abs() < SLACK);
    assert!((lag.greatest_ms(1000.0 + 2.0 * HALF_LIFE_MS) - 40.0).abs() < SLACK);
    lag.observe(1000.0 + HALF_LIFE_MS, 90.0);
    assert!((lag.greatest_ms(1000.0 + HALF_LIFE_MS) - 90.0).abs() < SLACK);
}

#[test]
fn a_time_before_the_last_observation_adds_nothing() {
    let mut lag = EventLoopLag::default();
    lag.observe(1000.0, 20.0);
    assert!((lag.greatest_ms(0.0) - 20.0).abs() < SLACK);
}

proptest! {
    /// Compares the greatest lag with the maximum of all observed lags, each decayed by its age.
    #[test]
    fn what_is_remembered_is_the_greatest_of_the_decayed_lags(
        observed in prop::collection::vec((0.0..20_000.0_f64, 0.0..500.0_f64), 1..40),
    ) {
        let mut lag = EventLoopLag::default();
        let mut now = 0.0;
        let mut lags = Vec::new();
        for (step_ms, late_ms) in observed {
            now += step_ms;
            lag.observe(now, late_ms);
            lags.push((now, late_ms));
            let decayed = lags.iter().map(|(at, late_ms)| late_ms * 0.5_f64.powf((now - at) / HALF_LIFE_MS));
            let greatest = decayed.fold(0.0, f64::max);
            prop_assert!((lag.greatest_ms(now) - greatest).abs() < SLACK);
        }
    }
}
