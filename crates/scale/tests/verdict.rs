//! The verdict of a figure depends on its value, its error and its limit.

use dunlinspread_scale::capacity::estimate::{Basis, Estimate, Verdict};

fn estimate(value: f64, relative_error: f64) -> Estimate {
    Estimate { relative_error, ..Estimate::exact(value) }
}

#[test]
fn a_figure_fits_only_with_its_whole_error() {
    assert_eq!(Verdict::of(&estimate(50.0, 0.0), Some(100.0), true), Verdict::Fits(2.0));
    assert_eq!(Verdict::of(&estimate(80.0, 0.25), Some(100.0), true), Verdict::Fits(1.0));
    assert_eq!(Verdict::of(&estimate(90.0, 0.25), Some(100.0), true), Verdict::WithinError);
    assert_eq!(Verdict::of(&estimate(200.0, 0.9), Some(100.0), true), Verdict::DoesNotFit(2.0));
}

#[test]
fn what_is_not_built_never_fits() {
    assert_eq!(Verdict::of(&estimate(1.0, 0.0), Some(100.0), false), Verdict::NotBuilt);
    assert_eq!(Verdict::of(&estimate(1.0, 0.0), None, false), Verdict::NotBuilt);
    assert_eq!(Verdict::of(&estimate(200.0, 0.0), Some(100.0), false), Verdict::DoesNotFit(2.0));
    assert_eq!(Verdict::of(&estimate(1.0, 0.0), None, true), Verdict::NoLimit);
}

#[test]
fn a_sum_adds_absolute_errors_and_is_as_weak_as_its_weakest_part() {
    let sum = estimate(100.0, 0.1).plus(Estimate::assumed(100.0));
    assert_eq!((sum.value, sum.basis), (200.0, Basis::Assumed));
    assert!((sum.relative_error - 0.05).abs() < 1e-12, "{}", sum.relative_error);
}

#[test]
fn a_product_adds_relative_errors() {
    let product = estimate(4.0, 0.1).by(estimate(5.0, 0.2)).times(2.0);
    assert_eq!(product.value, 40.0);
    assert!((product.relative_error - 0.3).abs() < 1e-12, "{}", product.relative_error);
}
