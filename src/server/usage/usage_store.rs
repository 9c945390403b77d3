//! Store of the usage ledger, from opening it until billing takes ownership of it.

use super::error::UsageError;
use crate::operator::LedgerConfig;
use dunlinspread_ledger::{LedgerState, Line, RecoveredLedger};
use dunlinspread_store::{Log, Options, RealDisk, Recovery, ReplayItem, ReplayRejection, StoreError};
use prost::Message as _;
use slog::{Logger, info, warn};
use std::path::Path;
use std::sync::Arc;

/// Maximum length of a record in bytes. The accumulator limits records to 4,096 entries.
const MAX_RECORD_BYTES: usize = 2 << 20;

/// State of the ledger when it was opened, for the export worker.
#[derive(Clone, Debug)]
pub struct OpenedLedger {
    /// State after all lines.
    pub state: LedgerState,
    /// Number of the first line that was not released.
    pub first_line: u64,
    /// State before the first line.
    pub first_state: LedgerState,
}

/// Open store of a ledger, before billing uses it.
pub struct UsageStore {
    log: Log,
    next_line: u64,
    /// Whether the previous process closed the store cleanly.
    closed_cleanly: bool,
    /// State of the ledger when it was opened.
    pub opened: OpenedLedger,
}

impl UsageStore {
    /// Opens the store in the configured directory and reads all its lines. Blocks on disk I/O.
    ///
    /// # Errors
    /// Returns [`UsageError::Open`] if the store can't be opened, or a line contradicts the lines before it.
    pub fn open(
        config: &LedgerConfig,
        server: &str,
        now_ms: u64,
        logger: &Logger,
    ) -> Result<UsageStore, UsageError> {
        let open_error = |source| UsageError::Open { ledger: config.name.clone(), source };
        let disk = RealDisk::new(Path::new(&config.directory)).map_err(open_error)?;
        let options = Options { max_record: MAX_RECORD_BYTES, now_ms, ..Options::new(server) };
        let (log, recovery, opened) = replay(disk, options).map_err(open_error)?;
        log_recovery(logger, &recovery, &opened.state);
        Ok(UsageStore {
            log,
            next_line: recovery.next_record,
            closed_cleanly: recovery.closed_cleanly,
            opened,
        })
    }

    /// Returns the log and the recovered state from which the accumulator continues.
    pub(super) fn into_parts(self) -> (Log, RecoveredLedger) {
        let recovered = RecoveredLedger {
            state: self.opened.state,
            next_line: self.next_line,
            closed_cleanly: self.closed_cleanly,
        };
        (self.log, recovered)
    }
}

/// Opens the log and replays its snapshot and lines.
fn replay(disk: RealDisk, options: Options) -> Result<(Log, Recovery, OpenedLedger), StoreError> {
    let mut opened =
        OpenedLedger { state: LedgerState::default(), first_line: 1, first_state: LedgerState::default() };
    let (log, recovery) = Log::open(Arc::new(disk), options, |item| match item {
        ReplayItem::Snapshot(before, bytes) => {
            opened.state = LedgerState::decode(bytes).map_err(ReplayRejection::new)?;
            opened.first_state = opened.state.clone();
            opened.first_line = before;
            Ok(())
        }
        ReplayItem::Record(number, bytes) => {
            let line = Line::parse(bytes).map_err(ReplayRejection::new)?;
            opened.state.apply(number, &line).map_err(ReplayRejection::new)
        }
    })?;
    Ok((log, recovery, opened))
}

fn log_recovery(logger: &Logger, recovery: &Recovery, state: &LedgerState) {
    info!(logger, "ledger opened"; "lines" => recovery.records, "bytes" => recovery.bytes_read,
        "clean" => recovery.closed_cleanly, "closed_to" => state.closed_to);
    if let Some(tail) = &recovery.torn_tail {
        warn!(logger, "torn tail of the last commit discarded";
            "file" => tail.file.as_str(), "offset" => tail.offset, "bytes" => tail.bytes);
    }
}
