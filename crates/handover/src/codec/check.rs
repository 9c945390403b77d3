//! Validation of single fields.

use super::{DecodeError, MAX_FRAME_BYTES};

pub(super) fn frame_length(bytes: &[u8]) -> Result<(), DecodeError> {
    if bytes.len() <= MAX_FRAME_BYTES {
        Ok(())
    } else {
        Err(DecodeError::TooLong { bytes: bytes.len(), limit: MAX_FRAME_BYTES })
    }
}

/// Returns `value`, or [`DecodeError::Number`] if it is negative or not finite.
pub(super) fn non_negative(field: &'static str, value: f64) -> Result<f64, DecodeError> {
    if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(DecodeError::Number { field, value }) }
}

pub(super) fn optional_non_negative(
    field: &'static str,
    value: Option<f64>,
) -> Result<Option<f64>, DecodeError> {
    value.map(|value| non_negative(field, value)).transpose()
}

pub(super) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Missing(field))
}

pub(super) fn key_of_32_bytes(field: &'static str, bytes: &[u8]) -> Result<[u8; 32], DecodeError> {
    let wrong_length = |_| DecodeError::Length { field, bytes: bytes.len(), expected: 32 };
    <[u8; 32]>::try_from(bytes).map_err(wrong_length)
}
