//! Formatting of the messages that represent actions.

use super::request_ids::RequestIds;
use super::words::action as word;
use crate::admission::Action;
use std::io::{self, Write};

/// Writes the message that represents an action of one instance.
///
/// # Errors
/// Returns the error of `output` if writing fails.
pub(super) fn write_action(
    output: &mut impl Write,
    instance: u64,
    ids: &RequestIds,
    action: &Action,
) -> io::Result<()> {
    let mut line =
        |name: &str, fields: std::fmt::Arguments<'_>| writeln!(output, "{name} i={instance}{fields}");
    match action {
        Action::Run(id) => line(word::RUN, format_args!(" xid={}", ids.name(*id))),
        Action::Reject { id, retry_after_ms, do_not_retry } => line(
            word::REJECT,
            format_args!(
                " xid={}{}{}",
                ids.name(*id),
                RetryAfter(*retry_after_ms),
                if *do_not_retry { " give_up=1" } else { "" }
            ),
        ),
        Action::Fail(id) => line(word::FAIL, format_args!(" xid={}", ids.name(*id))),
        Action::ReuseResult(id) => line(word::REUSE_RESULT, format_args!(" xid={}", ids.name(*id))),
        Action::Preempt(id) => line(word::PREEMPT, format_args!(" xid={}", ids.name(*id))),
        Action::ReserveKey { id, ttl_ms } => {
            line(word::RESERVE_KEY, format_args!(" xid={} keep_for_ms={ttl_ms}", ids.name(*id)))
        }
        Action::ReleaseKey(id) => line(word::RELEASE_KEY, format_args!(" xid={}", ids.name(*id))),
        Action::CallUpstream { id, timeout_ms } => {
            line(word::CALL_UPSTREAM, format_args!(" xid={} limit_ms={timeout_ms}", ids.name(*id)))
        }
        Action::SkipUpstreamCall(id) => {
            line(word::SKIP_UPSTREAM_CALL, format_args!(" xid={}", ids.name(*id)))
        }
        Action::AdvertiseShare(share) => line(word::ADVERTISE_SHARE, format_args!(" level={share}")),
        Action::SetHealth(healthy) => {
            line(word::SET_HEALTH, format_args!(" active={} from_state=1", u8::from(*healthy)))
        }
        Action::SetIdleTimeout(timeout_ms) => {
            line(word::SET_IDLE_TIMEOUT, format_args!(" keep_for_ms={timeout_ms}"))
        }
        Action::SetTimer { token, delay_ms } => {
            line(word::SET_TIMER, format_args!(" mark={token} offset_ms={delay_ms}"))
        }
        Action::Log(text) => line(word::LOG, format_args!(" msg={text}")),
    }
}

/// The Retry-After field, ms, which is omitted if it is 0.
struct RetryAfter(f64);

impl std::fmt::Display for RetryAfter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0 > 0.0 { write!(formatter, " retry_after_ms={}", self.0) } else { Ok(()) }
    }
}
