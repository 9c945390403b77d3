//! The wall clock.

/// Returns the current Unix time, ms.
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
