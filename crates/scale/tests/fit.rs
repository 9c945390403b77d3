//! The fits recover the functions that noisy points were generated from and prefer the simpler model if it
//! fits as well. A report survives a round trip through JSON unchanged.

use dunlinspread_scale::fit::{Quantity, median, spread};
use dunlinspread_scale::slope::{Fit, Model, Point, Report, Slope};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SIZES: [f64; 4] = [10.0, 100.0, 1_000.0, 10_000.0];
const TARGET: f64 = 100_000.0;

/// Returns points of a function at all sizes for three seeds, with a relative error of at most `noise`.
fn points(noise: f64, function: impl Fn(f64) -> f64) -> Vec<Point> {
    let mut points = Vec::new();
    for seed in 1..=3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for size in SIZES {
            let runs: Vec<f64> =
                (0..5).map(|_| function(size) * (1.0 + rng.random_range(-noise..=noise))).collect();
            points.push(Point::of(size, seed, &runs));
        }
    }
    points
}

fn quantity(target_size: f64) -> Quantity {
    Quantity {
        id: "test.cost_ns.things",
        quantity: "cost of a test",
        unit: "ns",
        against: "things",
        fixed: &[("held", 2.0)],
        target_size,
    }
}

/// Checks that the slope of a noisy function has the model, and its value at the target within `tolerance`.
fn assert_recovered(function: impl Fn(f64) -> f64, model: Model, tolerance: f64) {
    let slope = quantity(TARGET).slope(points(0.05, &function));
    assert_eq!(slope.fit.model, model, "{:?}", slope.fit);
    let expected = function(TARGET);
    let relative_error = (slope.at_target - expected).abs() / expected;
    assert!(relative_error <= tolerance, "{} at the target instead of {expected}", slope.at_target);
    assert!(slope.fit.relative_error <= 0.05, "{:?}", slope.fit);
    assert!(!slope.measured_at_target);
}

#[test]
fn a_constant_with_noise_stays_a_constant() {
    assert_recovered(|_| 370.0, Model::Constant, 0.03);
}

#[test]
fn a_line_with_noise_is_found() {
    assert_recovered(|size| 200.0 + 0.5 * size, Model::Linear, 0.05);
}

#[test]
fn a_logarithm_with_noise_is_found() {
    assert_recovered(|size| 40.0 + 25.0 * size.log2(), Model::Logarithmic, 0.05);
}

#[test]
fn a_power_with_noise_is_found() {
    assert_recovered(|size| 3.0 * size.powf(1.5), Model::Power, 0.1);
}

#[test]
fn exact_points_give_exact_coefficients() {
    let fit = Fit::of_model(Model::Linear, &points(0.0, |size| 7.0 + 2.0 * size)).expect("a fit");
    assert!((fit.intercept - 7.0).abs() < 1e-6 && (fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    let fit = Fit::of_model(Model::Power, &points(0.0, |size| 4.0 * size.powf(0.5))).expect("a fit");
    assert!((fit.intercept - 4.0).abs() < 1e-4 && (fit.slope - 0.5).abs() < 1e-5, "{fit:?}");
}

#[test]
fn a_fit_that_is_negative_at_the_target_is_not_chosen() {
    let falling = points(0.0, |size| 1_000.0 - 0.05 * size);
    let fit = Fit::best(&falling, TARGET);
    assert!(fit.at(TARGET) >= 0.0, "{fit:?}");
}

#[test]
fn what_was_measured_at_the_target_is_taken_as_it_is() {
    let slope = quantity(10_000.0).slope(points(0.05, |size| size));
    assert!(slope.measured_at_target);
    let target_medians: Vec<f64> =
        slope.points.iter().filter(|point| point.size == 10_000.0).map(|point| point.median).collect();
    assert_eq!(slope.at_target, median(&target_medians));
    assert!((slope.at_target_error - spread(&target_medians)).abs() < 1e-6, "{}", slope.at_target_error);
}

#[test]
fn one_measurement_at_the_target_is_held_against_the_fit_of_the_others() {
    let mut points = points(0.0, |size| size);
    points.push(Point::of(TARGET, 1, &[1.25 * TARGET]));
    let slope = quantity(TARGET).slope(points);
    assert!(slope.measured_at_target);
    assert_eq!(slope.at_target, 1.25 * TARGET);
    assert!((slope.at_target_error - 0.2).abs() < 0.001, "{}", slope.at_target_error);
}

#[test]
fn seeds_that_disagree_show_in_the_error() {
    let mut disagreeing = points(0.0, |size| size);
    disagreeing.iter_mut().filter(|point| point.seed == 3).for_each(|point| point.median *= 2.0);
    let slope = quantity(TARGET).slope(disagreeing);
    assert!(slope.at_target_error >= 0.4, "{}", slope.at_target_error);
}

#[test]
fn points_of_nothing_are_a_constant_zero() {
    let slope = quantity(TARGET).slope(points(0.0, |_| 0.0));
    assert_eq!((slope.fit.model, slope.at_target, slope.at_target_error), (Model::Constant, 0.0, 0.0));
    assert_eq!(Fit::best(&[], TARGET).at(TARGET), 0.0);
}

#[test]
fn the_median_of_a_point_is_that_of_its_runs() {
    assert_eq!(
        Point::of(1.0, 1, &[5.0, 1.0, 3.0]),
        Point { size: 1.0, seed: 1, min: 1.0, median: 3.0, runs: 3 }
    );
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), 2.5);
}

#[test]
fn a_report_reads_back_as_it_was() {
    let slopes: Vec<Slope> = vec![quantity(TARGET).slope(points(0.05, |size| 200.0 + 0.5 * size))];
    let report = Report {
        machine: [("cores".to_owned(), "8".to_owned())].into(),
        commit: "0123".to_owned(),
        command: "slopes --json".to_owned(),
        slopes,
    };
    let text = serde_json::to_string(&report).expect("JSON");
    assert_eq!(serde_json::from_str::<Report>(&text).expect("a report"), report);
}
