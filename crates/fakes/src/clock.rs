//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time, ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
