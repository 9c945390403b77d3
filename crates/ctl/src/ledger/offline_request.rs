//! Executes an operator's request on a ledger that no server has open.

use crate::clock::now_ms;
use anyhow::{Context as _, Result};
use dunlinspread_ledger::operator_request::OperatorRequest;
use dunlinspread_ledger::{
    Action, DurabilityMode, FailurePolicy, LedgerSettings, LedgerState, Line, LineId, LineIdText, LineKind,
    RecoveredLedger, UsageAccumulator,
};
use dunlinspread_store::{Log, Options, RealDisk, ReplayItem, ReplayRejection};
use prost::Message as _;
use std::path::Path;
use std::sync::Arc;

/// Maximum size of a record, bytes.
const MAX_RECORD_BYTES: usize = 2 << 20;

/// A ledger that is open for writing.
struct WritableLedger {
    log: Log,
    recovered: RecoveredLedger,
    /// The correction line that was already entered with the request's token, if any.
    existing_entry: Option<LineId>,
}

/// Executes a request and returns the answer. The execution counts as a separate start of the ledger.
///
/// # Errors
/// Returns an error if the ledger cannot be opened or written, or was never used.
pub fn execute_offline(
    directory: &Path,
    server: &str,
    request: OperatorRequest,
    token: &str,
) -> Result<String> {
    let now = now_ms();
    let WritableLedger { mut log, recovered, existing_entry } = open_ledger(directory, server, token, now)?;
    if let Some(line) = existing_entry {
        log.close()?;
        return Ok(format!("done {}", LineIdText(&line)));
    }
    let settings = settings_of_last_start(&recovered.state)?;
    let mut actions = Vec::new();
    let mut accumulator = UsageAccumulator::start(now, settings, recovered, &mut actions);
    let accepted = match request {
        OperatorRequest::Correct(mut correction) => {
            token.clone_into(&mut correction.token);
            accumulator.append_entry(now, LineKind::Correction(correction), 1, &mut actions).is_ok()
        }
        OperatorRequest::Close(_) => accumulator.close_early(now, &mut actions).is_ok(),
    };
    let line = commit_all(&mut log, &mut accumulator, actions, now)?;
    log.close()?;
    let start = accumulator.state().start.as_ref().map_or(0, |start| start.start);
    match line.filter(|_| accepted) {
        Some(number) => {
            let id = LineId { server: server.to_owned(), start, number };
            Ok(format!("done {}", LineIdText(&id)))
        }
        None => Ok("error: the ledger rejected the request".to_owned()),
    }
}

fn open_ledger(directory: &Path, server: &str, token: &str, now: u64) -> Result<WritableLedger> {
    let disk = Arc::new(RealDisk::new(directory)?);
    let (mut state, mut start, mut existing_entry) = (LedgerState::default(), 0, None);
    let options = Options { now_ms: now, max_record: MAX_RECORD_BYTES, ..Options::new(server) };
    let (log, recovery) = Log::open(disk, options, |item| {
        match item {
            ReplayItem::Snapshot(_, bytes) => {
                state = LedgerState::decode(bytes).map_err(ReplayRejection::new)?;
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(ReplayRejection::new)?;
                state.apply(number, &line).map_err(ReplayRejection::new)?;
                match line.kind {
                    Some(LineKind::Start(start_line)) => start = start_line.start,
                    Some(LineKind::Correction(correction)) if correction.token == token => {
                        existing_entry = Some(LineId { server: server.to_owned(), start, number });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    })?;
    let recovered =
        RecoveredLedger { state, next_line: recovery.next_record, closed_cleanly: recovery.closed_cleanly };
    Ok(WritableLedger { log, recovered, existing_entry })
}

/// Returns settings with the period and the classes of the ledger's last start.
fn settings_of_last_start(state: &LedgerState) -> Result<LedgerSettings> {
    let last_start = state.start.clone().context("this ledger was never used")?;
    Ok(LedgerSettings {
        period_ms: last_start.period_ms,
        grace_ms: 0,
        mode: DurabilityMode::Strict,
        on_failure: FailurePolicy::Reject,
        classes: last_start.classes,
        cells: 1,
        records: 64,
    })
}

/// Commits records until no action is left, and returns the number of the last entry line or close line.
fn commit_all(
    log: &mut Log,
    accumulator: &mut UsageAccumulator,
    mut actions: Vec<Action>,
    now: u64,
) -> Result<Option<u64>> {
    let mut line = None;
    while !actions.is_empty() {
        let mut records = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Append(record) => records.push(record),
                Action::EntryDurable { number, .. } | Action::PeriodsClosed(number) => line = Some(number),
                _ => {}
            }
        }
        if !records.is_empty() {
            log.commit(&records)?;
            accumulator.on_durable(now, records.len(), &mut actions);
        }
    }
    Ok(line)
}
