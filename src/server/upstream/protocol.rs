//! Names on the wire of calls to the upstream service (HTTP/1.1). They are defined in this file only.

use crate::admission::Outcome;
use crate::codec::http;

/// Method of a call.
const METHOD: &str = "POST";
/// Path of a call.
const PATH: &str = "/lookup";
/// Request header: id of the attempt that makes the call, 16 hexadecimal digits.
const HEADER_ATTEMPT: &str = "X-Parent-Id";
/// Request header: time left for the call, whole ms.
const HEADER_TIME_LEFT_MS: &str = "X-Budget-Ms";
/// Reply header, in lower case: the call was rejected and never ran.
const HEADER_REJECTED: &str = "x-shed";
/// Value of [`HEADER_REJECTED`] on a rejected call.
const REJECTED: &str = "1";
/// Shortest time left that is sent, ms.
const MIN_TIME_LEFT_MS: f64 = 1.0;

/// Encodes a call; `time_left_ms` is the time until its deadline.
pub(super) fn encode_call(attempt: u64, time_left_ms: f64, host: &str, body: &[u8]) -> Vec<u8> {
    let attempt = format!("{attempt:016x}");
    let time_left_ms = time_left_ms.max(MIN_TIME_LEFT_MS).round().to_string();
    let headers = [(HEADER_ATTEMPT, attempt.as_str()), (HEADER_TIME_LEFT_MS, time_left_ms.as_str())];
    http::request(METHOD, PATH, host, &headers, body)
}

/// Returns the outcome that a reply states. Only a 503 or 409 with [`HEADER_REJECTED`] proves that the call
/// never ran.
pub(super) fn outcome(reply: &http::Reply) -> Outcome {
    let is_marked = reply.header(HEADER_REJECTED) == Some(REJECTED);
    match reply.status {
        200 => Outcome::Ok,
        503 | 409 if is_marked => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Error,
    }
}
