//! Lengths of time in an operator file: as text such as `15m`, and within a range.

use super::error::KeyError;
use std::time::Duration;

/// Lengths of time as text: `50ms`, `15m`, `1h 30m`.
pub(super) mod humantime_text {
    use serde::{Deserialize, Deserializer, de::Error};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        let text = String::deserialize(from)?;
        let read = humantime::parse_duration(&text);
        read.map(Some)
            .map_err(|e| D::Error::custom(format!("`{text}` is no length of time such as 50ms or 15m: {e}")))
    }
}

/// A length of time as text that reads back.
pub(super) fn text(ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(ms)).to_string()
}

/// Returns a length of time in ms, `default` where none is stated.
///
/// # Errors
/// If it is out of range.
pub(super) fn range_ms(
    key: &'static str,
    value: Option<Duration>,
    default: u64,
    least: u64,
    most: u64,
) -> Result<u64, KeyError> {
    let ms = value.map_or(default, |d| d.as_millis().min(u128::from(u64::MAX)) as u64);
    if (least..=most).contains(&ms) {
        Ok(ms)
    } else {
        Err(KeyError::new(key, format!("{} is not within {} and {}", text(ms), text(least), text(most))))
    }
}
