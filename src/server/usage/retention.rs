//! Retention: releases lines that are older than they are kept and not needed any more.

use super::dispatcher_link::DispatcherLink;
use super::export_error::ExportError;
use super::usage_store::OpenedLedger;
use dunlinspread_ledger::{LedgerState, Line};
use dunlinspread_store::{Disk, Log, ReplayRejection, StoreError};
use prost::Message as _;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The least and the longest time between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(300);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Checks within the time that lines are kept, where that is between the two above.
const CHECKS_PER_KEPT_TIME: u64 = 4;
/// Lines that are released together at least: each release costs a file.
const MIN_RELEASED_LINES: u64 = 1000;

/// A place in a ledger: the number of a line and the state before it.
#[derive(Clone, Debug)]
pub(super) struct LinePosition {
    /// The line's number.
    pub(super) number: u64,
    /// The state after all lines before it.
    pub(super) state: LedgerState,
}

impl LinePosition {
    /// Returns the first line of a ledger that was opened.
    pub(super) fn first(opened: &OpenedLedger) -> LinePosition {
        LinePosition { number: opened.first_line, state: opened.first_state.clone() }
    }
}

/// Finds lines that are old enough to be released.
pub(super) struct Retention {
    server: String,
    keep_ms: u64,
    /// The first line that is younger than lines are kept, as far as the last check found.
    first_kept: LinePosition,
    /// Lines before this number were released.
    released_before: u64,
    last_check: Instant,
}

impl Retention {
    /// Returns the retention of a ledger that was opened; lines are kept for `keep_ms`.
    pub(super) fn new(server: &str, keep_ms: u64, opened: &OpenedLedger) -> Retention {
        Retention {
            server: server.to_owned(),
            keep_ms,
            first_kept: LinePosition::first(opened),
            released_before: opened.first_line,
            last_check: Instant::now(),
        }
    }

    /// Releases old lines if a check is due and there are many. Lines from `first_needed` on stay.
    ///
    /// # Errors
    /// If the lines can't be read, or the program ends.
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
        Duration::from_millis(self.keep_ms / CHECKS_PER_KEPT_TIME)
            .clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)
    }

    /// Goes on from the last position to the first line that is still kept.
    fn find_first_kept(&self, disk: &dyn Disk, first_needed: u64) -> Result<LinePosition, StoreError> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let kept_since_ms = (now.as_millis() as u64).saturating_sub(self.keep_ms);
        let mut position = self.first_kept.clone();
        let mut found = false;
        let lines = position.number..first_needed;
        Log::read_range(disk, &self.server, lines, |number, bytes| {
            let line = Line::parse(bytes).map_err(ReplayRejection::new)?;
            found |= line.at_ms >= kept_since_ms;
            if !found {
                position.state.apply(number, &line).map_err(ReplayRejection::new)?;
                position.number = number + 1;
            }
            Ok(())
        })?;
        Ok(position)
    }
}
