//! Reasons of refusals, as long as a report may have them.

/// The longest reason that is reported, in bytes.
const MAX_REASON: usize = 256;

/// The longest beginning of `reason` that is reported; it ends between characters.
pub(super) fn reported_reason(reason: &str) -> &str {
    let mut end = reason.len().min(MAX_REASON);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    &reason[..end]
}
