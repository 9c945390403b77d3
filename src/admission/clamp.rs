//! Bounds for numbers from external input.

/// Returns `value` clamped to the bounds, or the lower bound if `value` is NaN.
pub(super) fn clamp_finite(value: f64, low: f64, high: f64) -> f64 {
    if value.is_nan() { low } else { value.clamp(low, high) }
}
