//! Truncation of the reasons of refusals to the length that a report allows.

/// Maximum length of a reported reason, in bytes.
const MAX_REASON: usize = 256;

/// Returns the longest prefix of `reason` that may be reported; it ends at a character boundary.
pub(super) fn reported_reason(reason: &str) -> &str {
    let mut end = reason.len().min(MAX_REASON);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    &reason[..end]
}
