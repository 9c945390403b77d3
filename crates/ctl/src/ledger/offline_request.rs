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

/// The longest record, bytes.
const MAX_RECORD_BYTES: usize = 2 << 20;

/// A ledger that was opened for writing.
struct WritableLedger {
    log: Log,
    recovered: RecoveredLedger,
    /// The line that the request's token has entered before, if it has.
    entered_before: Option<LineId>,
}

/// Executes a request as a start of the ledger of its own and returns the answer.
///
/// # Errors
/// If the ledger cannot be opened or written, or was never used.
pub fn execute_offline(
    directory: &Path,
    server: &str,
    request: OperatorRequest,
    token: &str,
) -> Result<String> {
    let now = now_ms();
    let WritableLedger { mut log, recovered, entered_before } = open_ledger(directory, server, token, now)?;
    if let Some(line) = entered_before {
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
        None => Ok("error: the ledger does not take this".to_owned()),
    }
}

fn open_ledger(directory: &Path, server: &str, token: &str, now: u64) -> Result<WritableLedger> {
    let disk = Arc::new(RealDisk::new(directory)?);
    let (mut state, mut start, mut entered_before) = (LedgerState::default(), 0, None);
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
                    Some(LineKind::Start(started)) => start = started.start,
                    Some(LineKind::Correction(correction)) if correction.token == token => {
                        entered_before = Some(LineId { server: server.to_owned(), start, number });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    })?;
    let recovered =
        RecoveredLedger { state, next_line: recovery.next_record, closed_cleanly: recovery.closed_cleanly };
    Ok(WritableLedger { log, recovered, entered_before })
}

/// Returns settings with the periods and classes of the ledger's last start.
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

/// Commits records until no action is left, and returns the last line that an entry or a close became.
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
