//! Replays a ledger from its first line to its last and checks each line against those before it.

use crate::ledger::location::OpenLedger;
use anyhow::Result;
use dunlinspread_ledger::{LedgerState, Line, LineKind, Outcome};
use dunlinspread_store::{Log, ReplayItem, ReplayRejection};
use prost::Message as _;
use std::collections::BTreeMap;

/// Requests that a ledger reports as unbilled: no usage line contains them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnbilledRequests {
    /// Number of requests known to be unbilled.
    pub known: u64,
    /// Maximum number of further requests that may be unbilled.
    pub at_most: u64,
}

/// Summary of a replay of a ledger.
#[derive(Default)]
pub struct ReplaySummary {
    /// State after the last line.
    pub state: LedgerState,
    /// Number of the first line in the ledger; 0 if there is none.
    pub first_line: u64,
    /// Number of lines by kind.
    pub lines_by_kind: BTreeMap<&'static str, u64>,
    /// Requests that the ledger reports as unbilled.
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

/// Returns the name of a line's kind for the output of `verify`.
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

/// Replays all lines: checks each against those before it and calls `visit` with its number and content.
///
/// # Errors
/// Returns an error if the store cannot be read or a line is inconsistent with those before it.
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

/// Number of requests by tenant and outcome.
pub type RequestsByTenant = BTreeMap<(String, Outcome), u64>;

/// Returns the requests in the usage lines of a ledger by tenant and outcome, and the summary of the replay.
///
/// # Errors
/// Returns the errors of [`replay_lines`].
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
