//! Executes an operator's request on a ledger that no server has open.

use crate::clock::now_ms;
use anyhow::{Context as _, Result};
use dunlinspread_ledger::operator_request::OperatorRequest;
use dunlinspread_ledger::{
    Action, DurabilityMode, FailurePolicy, LedgerSettings, LedgerState, Line, LineId, LineIdText, LineKind,
    RecoveredLedger, UsageAccumulator,
};
use dunlinspread_store::{Log, Options, RealDisk, ReplayItem};
use prost::Message as _;
use std::path::Path;
use std::sync::Arc;

/// Does it without a round server, as a start of its own.
pub fn by_hand(directory: &Path, server: &str, wish: OperatorRequest, token: &str) -> Result<String> {
    let disk = Arc::new(RealDisk::new(directory)?);
    let now = now_ms();
    let (mut state, mut start, mut entered) = (LedgerState::default(), 0, None);
    let options = Options { now_ms: now, max_record: 2 << 20, ..Options::new(server) };
    let (mut log, recovery) = Log::open(disk, options, |visit| {
        match visit {
            ReplayItem::Snapshot(_, bytes) => {
                state = LedgerState::decode(bytes).map_err(|e| e.to_string())?;
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(|e| e.to_string())?;
                state.apply(number, &line).map_err(|e| e.to_string())?;
                match line.kind {
                    Some(LineKind::Start(s)) => start = s.start,
                    Some(LineKind::Correction(c)) if c.token == token => {
                        entered = Some(LineId { server: server.to_owned(), start, number });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    })?;
    if let Some(line) = entered {
        log.close()?;
        return Ok(format!("done {}", LineIdText(&line)));
    }
    let before = state.start.clone().context("this ledger was never used")?;
    let settings = LedgerSettings {
        period_ms: before.period_ms,
        grace_ms: 0,
        mode: DurabilityMode::Strict,
        on_failure: FailurePolicy::Reject,
        classes: before.classes,
        cells: 1,
        records: 64,
    };
    let mut actions = Vec::new();
    let recovered =
        RecoveredLedger { state, next_line: recovery.next_record, closed_cleanly: recovery.closed_cleanly };
    let mut accumulator = UsageAccumulator::start(now, settings, recovered, &mut actions);
    let accepted = match wish {
        OperatorRequest::Correct(mut correction) => {
            token.clone_into(&mut correction.token);
            accumulator.append_entry(now, LineKind::Correction(correction), 1, &mut actions).is_ok()
        }
        OperatorRequest::Close(_) => accumulator.close_early(now, &mut actions).is_ok(),
    };
    let mut line = None;
    while !actions.is_empty() {
        let records: Vec<Vec<u8>> = actions
            .drain(..)
            .filter_map(|action| match action {
                Action::Append(record) => Some(record),
                Action::EntryDurable { number, .. } | Action::PeriodsClosed(number) => {
                    line = Some(number);
                    None
                }
                _ => None,
            })
            .collect();
        if !records.is_empty() {
            log.commit(&records)?;
            accumulator.on_durable(now, records.len(), &mut actions);
        }
    }
    log.close()?;
    let start = accumulator.state().start.as_ref().map_or(0, |s| s.start);
    match line.filter(|_| accepted) {
        Some(number) => {
            let id = LineId { server: server.to_owned(), start, number };
            Ok(format!("done {}", LineIdText(&id)))
        }
        None => Ok("error: the ledger does not take this".to_owned()),
    }
}
