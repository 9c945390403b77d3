//! Durations in an operator file: parsing of text such as `15m`, and range checks.

use super::error::KeyError;
use std::time::Duration;

/// Deserialization of durations as text: `50ms`, `15m`, `1h 30m`.
pub(super) mod humantime_text {
    use serde::{Deserialize, Deserializer, de::Error};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        let text = String::deserialize(from)?;
        let parsed = humantime::parse_duration(&text);
        parsed
            .map(Some)
            .map_err(|e| D::Error::custom(format!("`{text}` is not a duration such as 50ms or 15m: {e}")))
    }
}

/// Formats a duration as text that can be parsed again.
pub(super) fn format_ms(ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(ms)).to_string()
}

/// Returns a duration in ms, or `default` if `value` is `None`.
///
/// # Errors
/// Returns a [`KeyError`] if the duration is not between `min` and `max`.
pub(super) fn range_ms(
    key: &'static str,
    value: Option<Duration>,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, KeyError> {
    let ms = value.map_or(default, |d| d.as_millis().min(u128::from(u64::MAX)) as u64);
    if (min..=max).contains(&ms) {
        Ok(ms)
    } else {
        Err(KeyError::new(
            key,
            format!("{} is not between {} and {}", format_ms(ms), format_ms(min), format_ms(max)),
        ))
    }
}
