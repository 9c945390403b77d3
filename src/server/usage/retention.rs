//! Retention: releases lines whose keep time has passed and that the export no longer needs.

use super::dispatcher_link::DispatcherLink;
use super::export_error::ExportError;
use super::usage_store::OpenedLedger;
use dunlinspread_ledger::{LedgerState, Line};
use dunlinspread_store::{Disk, Log, ReplayRejection, StoreError};
use prost::Message as _;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Minimum time between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum time between two checks.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Number of checks within the keep time, as far as the limits of the check interval allow it.
const CHECKS_PER_KEEP_TIME: u64 = 4;
/// Minimum number of lines that are released together, because each release writes a file.
const MIN_RELEASED_LINES: u64 = 1000;

/// Position in a ledger: the number of a line and the ledger's state before that line.
#[derive(Clone, Debug)]
pub(super) struct LinePosition {
    /// Number of the line.
    pub(super) number: u64,
    /// State of the ledger after all lines before this one.
    pub(super) state: LedgerState,
}

impl LinePosition {
    /// Returns the position of the first line of an opened ledger.
    pub(super) fn first(opened: &OpenedLedger) -> LinePosition {
        LinePosition { number: opened.first_line, state: opened.first_state.clone() }
    }
}

/// Releases lines that are older than the keep time.
pub(super) struct Retention {
    server: String,
    /// Time that lines are kept, in ms.
    keep_ms: u64,
    /// First line that had to be kept at the last check.
    first_kept: LinePosition,
    /// Number of the first line that is not released.
    released_before: u64,
    last_check: Instant,
}

impl Retention {
    /// Returns the retention of an opened ledger whose lines are kept for `keep_ms` milliseconds.
    pub(super) fn new(server: &str, keep_ms: u64, opened: &OpenedLedger) -> Retention {
        Retention {
            server: server.to_owned(),
            keep_ms,
            first_kept: LinePosition::first(opened),
            released_before: opened.first_line,
            last_check: Instant::now(),
        }
    }

    /// Releases old lines if a check is due and at least [`MIN_RELEASED_LINES`] can be released. Lines from
    /// `first_needed` on are kept.
    ///
    /// # Errors
    /// - [`ExportError::Retryable`] if the lines can't be read.
    /// - [`ExportError::ShuttingDown`] if the process is shutting down.
    pub(super) fn release_old_lines(
        &mut self,
        disk: &dyn Disk,
        first_needed: u64,
        link: &DispatcherLink,
    ) -> Result<(), ExportError> {
        if self.last_check.elapsed() < self.check_interval() {
            return Ok(());
        }
        self.last_check = Instant::now();
        if self.first_kept.number >= first_needed {
            return Ok(());
        }
        self.first_kept = self.find_first_kept(disk, first_needed)?;
        let before = self.first_kept.number;
        if before - self.released_before >= MIN_RELEASED_LINES {
            self.released_before = before;
            link.release_lines(before, self.first_kept.state.encode_to_vec())?;
        }
        Ok(())
    }

    fn check_interval(&self) -> Duration {
        Duration::from_millis(self.keep_ms / CHECKS_PER_KEEP_TIME)
            .clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)
    }

    /// Advances from the last position to the first line that must be kept, at most to `first_needed`.
    fn find_first_kept(&self, disk: &dyn Disk, first_needed: u64) -> Result<LinePosition, StoreError> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let kept_since_ms = (now.as_millis() as u64).saturating_sub(self.keep_ms);
        let mut position = self.first_kept.clone();
        let mut is_kept = false;
        let lines = position.number..first_needed;
        Log::read_range(disk, &self.server, lines, |number, bytes| {
            let line = Line::parse(bytes).map_err(ReplayRejection::new)?;
            is_kept |= line.at_ms >= kept_since_ms;
            if !is_kept {
                position.state.apply(number, &line).map_err(ReplayRejection::new)?;
                position.number = number + 1;
            }
            Ok(())
        })?;
        Ok(position)
    }
}
