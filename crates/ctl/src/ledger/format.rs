//! Usage and times as the commands print them.

use dunlinspread_ledger::{NetUsage, UsageGroup};
use serde_json::json;

/// Returns the usage of a group as a JSON object.
pub fn sum_json(sum: &UsageGroup, net: &NetUsage) -> serde_json::Value {
    json!({
        "society": sum.tenant, "period_ms": sum.period, "of_ms": sum.original_period, "class": sum.class,
        "outcome": sum.outcome.as_str(), "requests": net.requests as i64, "pool_us": net.pool_us as i64,
        "bytes_in": net.bytes_in as i64, "bytes_out": net.bytes_out as i64,
    })
}

/// A period's first ms as UTC.
pub fn period_text(ms: u64) -> String {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(ms);
    humantime::format_rfc3339_millis(time).to_string()
}
