//! Reading a ledger from its first line to its last, with each line checked against those before it.

use crate::ledger::location::OpenLedger;
use anyhow::Result;
use dunlinspread_ledger::{LedgerState, Line, LineKind, Outcome};
use dunlinspread_store::{Log, ReplayItem, ReplayRejection};
use prost::Message as _;
use std::collections::BTreeMap;

/// Requests that the ledger states to be in no line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnbilledRequests {
    /// Requests known to be in no line.
    pub known: u64,
    /// Further requests that may be in none, at most.
    pub at_most: u64,
}

/// What a replay of a ledger's lines found.
#[derive(Default)]
pub struct ReplaySummary {
    /// The state after the last line.
    pub state: LedgerState,
    /// The number of the first line that is there; 0 if there is none.
    pub first_line: u64,
    /// Lines by kind.
    pub lines_by_kind: BTreeMap<&'static str, u64>,
    /// Requests that the lines state to be in none.
    pub unbilled: UnbilledRequests,
}

impl ReplaySummary {
    fn count(&mut self, line: &Line) {
        if let Some(LineKind::Unbilled(unbilled)) = &line.kind {
            self.unbilled.known += unbilled.requests;
            self.unbilled.at_most += unbilled.at_most;
        }
        *self.lines_by_kind.entry(kind_name(line)).or_default() += 1;
    }
}

/// Returns the name of a line's kind, as `verify` prints it.
fn kind_name(line: &Line) -> &'static str {
    match &line.kind {
        Some(LineKind::Start(_)) => "start",
        Some(LineKind::Usage(_)) => "usage",
        Some(LineKind::Correction(_)) => "correction",
        Some(LineKind::Close(_)) => "close",
        Some(LineKind::Export(_)) => "export",
        Some(LineKind::Unbilled(_)) => "unbilled",
        None => "unknown",
    }
}

/// Replays all lines, checks each against those before it and calls `visit` with its number and content.
///
/// # Errors
/// If the store cannot be read or a line does not follow from those before it.
pub fn replay_lines(ledger: &OpenLedger, mut visit: impl FnMut(u64, &Line)) -> Result<ReplaySummary> {
    let mut summary = ReplaySummary::default();
    Log::read(&ledger.disk, &ledger.server, |item| {
        match item {
            ReplayItem::Snapshot(before, bytes) => {
                summary.first_line = before;
                summary.state = LedgerState::decode(bytes).map_err(ReplayRejection::new)?;
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(ReplayRejection::new)?;
                summary.state.apply(number, &line).map_err(ReplayRejection::new)?;
                if summary.first_line == 0 {
                    summary.first_line = number;
                }
                summary.count(&line);
                visit(number, &line);
            }
        }
        Ok(())
    })?;
    Ok(summary)
}

/// Requests by tenant and outcome.
pub type RequestsByTenant = BTreeMap<(String, Outcome), u64>;

/// Returns the requests in the usage lines of a ledger, and the summary of the replay.
///
/// # Errors
/// As [`replay_lines`].
pub fn requests_by_tenant(ledger: &OpenLedger) -> Result<(RequestsByTenant, ReplaySummary)> {
    let mut requests = RequestsByTenant::new();
    let summary = replay_lines(ledger, |_, line| {
        if let Some(LineKind::Usage(usage)) = &line.kind {
            for entry in &usage.entries {
                let outcome = Outcome::try_from(entry.outcome).unwrap_or(Outcome::Unknown);
                *requests.entry((entry.tenant.clone(), outcome)).or_insert(0) += entry.amount.requests;
            }
        }
    })?;
    Ok((requests, summary))
}
