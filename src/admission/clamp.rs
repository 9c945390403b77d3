//! Bounds for numbers that come from outside.

/// Returns `value` within the bounds, and the lower bound for NaN.
pub(super) fn clamp_finite(value: f64, low: f64, high: f64) -> f64 {
    if value.is_nan() { low } else { value.clamp(low, high) }
}
