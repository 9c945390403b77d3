//! The lines that are written at startup: the start line, and lines about the time since the previous run.

use super::action::{Action, Notice};
use super::line_sequence::LineSequence;
use super::record_queue::OnDurable;
use super::settings::{FailurePolicy, LedgerSettings};
use crate::line::{Close, LineKind, Start, Unbilled};
use crate::state::LedgerState;

/// The result of reading a ledger from its store.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredLedger {
    /// Ledger state after all lines in the store.
    pub state: LedgerState,
    /// Number of the next line.
    pub next_line: u64,
    /// Whether the store was closed cleanly by the previous run.
    pub closed_cleanly: bool,
}

impl Default for RecoveredLedger {
    /// Returns the result of reading an empty store.
    fn default() -> RecoveredLedger {
        RecoveredLedger { state: LedgerState::default(), next_line: 1, closed_cleanly: true }
    }
}

/// Appends the lines that are written at startup.
pub(super) fn append_first_lines(
    lines: &mut LineSequence,
    now_ms: u64,
    settings: &LedgerSettings,
    closed_cleanly: bool,
    actions: &mut Vec<Action>,
) {
    let before = lines.state.clone();
    if before.latest_ms > now_ms {
        actions.push(Action::Notify(Notice::ClockBehind(before.latest_ms - now_ms)));
    }
    let start = start_line(now_ms, settings, &before);
    lines.append_record(now_ms, LineKind::Start(start), 0, OnDurable::Nothing);
    if let Some(unbilled) = unclean_shutdown_line(now_ms, &before, closed_cleanly) {
        let at_most = (!unbilled.unbounded).then_some(unbilled.at_most);
        actions.push(Action::Notify(Notice::UncleanShutdown { at_most }));
        lines.append_record(now_ms, LineKind::Unbilled(unbilled), 0, OnDurable::Nothing);
    }
    let is_new_ledger = before.ledger_id == 0;
    if let Some(close) = late_close_line(lines, now_ms).filter(|_| !is_new_ledger) {
        actions.push(Action::Notify(Notice::ClosedLate { from: close.from, to: close.to }));
        lines.append_record(now_ms, LineKind::Close(close), 0, OnDurable::PeriodsClosed);
    }
}

fn start_line(now_ms: u64, settings: &LedgerSettings, before: &LedgerState) -> Start {
    let after_last_start = before.start.as_ref().map_or(0, |start| start.start) + 1;
    Start {
        // Based on the current time, the id is unique even if the previous store was lost.
        start: now_ms.max(after_last_start),
        period_ms: settings.period_ms.max(1),
        classes: settings.classes.clone(),
        at_risk: settings.mode.max_at_risk(),
        continues_on_failure: settings.on_failure == FailurePolicy::Continue,
    }
}

/// Returns the unbilled line for the replies that the previous run may have sent without a durable line;
/// `None` if there can be none.
fn unclean_shutdown_line(now_ms: u64, before: &LedgerState, closed_cleanly: bool) -> Option<Unbilled> {
    let last = before.start.as_ref()?;
    if closed_cleanly || (last.at_risk == 0 && !last.continues_on_failure) {
        return None;
    }
    Some(Unbilled {
        requests: 0,
        at_most: if last.continues_on_failure { 0 } else { last.at_risk },
        unbounded: last.continues_on_failure,
        from_ms: before.latest_ms,
        to_ms: now_ms.max(before.latest_ms),
        reason: "the server did not end in good order".to_owned(),
    })
}

/// Returns the line that closes the periods that ended while the server was down, without waiting for the
/// grace time; `None` if no period ended.
fn late_close_line(lines: &LineSequence, now_ms: u64) -> Option<Close> {
    let time_ms = lines.time(now_ms);
    let (from, to) = (lines.state.closed_to, time_ms - time_ms % lines.state.period_ms());
    (to > from).then_some(Close { from, to, late: true })
}
