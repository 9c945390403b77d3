//! Formats usage and times for the commands' output.

use dunlinspread_ledger::{NetUsage, UsageGroup};
use serde_json::{Value, json};
use std::time::{Duration, UNIX_EPOCH};

/// Returns the net usage of a group as a JSON object.
pub fn usage_json(group: &UsageGroup, net: &NetUsage) -> Value {
    json!({
        "society": group.tenant, "period_ms": group.period, "of_ms": group.original_period,
        "class": group.class, "outcome": group.outcome.as_str(), "requests": net.requests as i64,
        "pool_us": net.pool_us as i64, "bytes_in": net.bytes_in as i64, "bytes_out": net.bytes_out as i64,
    })
}

/// Returns a Unix time in ms as RFC 3339 text in UTC.
pub fn utc_text(unix_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}
