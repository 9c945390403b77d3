//! The state of a ledger after a number of lines, against which the next line is checked.
//!
//! The state contains the ledger's time and the progress of closes and exports. Its size is constant; amounts
//! are read from the lines when they are needed ([`totals`](crate::totals)). Recovery and verification of a
//! ledger apply the same checks.

use crate::line::{Close, Correction, Export, Line, LineError, LineKind, Start, Usage};
use prost::Message;

/// The state of a ledger after a number of lines.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerState {
    /// Ledger time: the latest time of any line, in Unix ms.
    #[prost(uint64, tag = "1")]
    pub latest_ms: u64,
    /// End (exclusive) of the closed periods, in Unix ms.
    #[prost(uint64, tag = "2")]
    pub closed_to: u64,
    /// Last start line.
    #[prost(message, optional, tag = "3")]
    pub start: Option<Start>,
    /// Id of the ledger's first start. It distinguishes this ledger from a lost ledger of the same server.
    #[prost(uint64, tag = "4")]
    pub ledger_id: u64,
    /// Number of the last prepared batch.
    #[prost(uint64, tag = "5")]
    pub last_batch: u64,
    /// Last prepared batch, while it is not acknowledged.
    #[prost(message, optional, tag = "6")]
    pub prepared_batch: Option<Export>,
    /// Digest of the last acknowledged batch; empty before the first one. Each batch contains the digest of
    /// the previous batch.
    #[prost(bytes = "vec", tag = "7")]
    pub last_digest: Vec<u8>,
    /// Number of the last close line whose batches are all acknowledged.
    #[prost(uint64, tag = "8")]
    pub last_exported_close: u64,
    /// Number of acknowledged batches of the next close.
    #[prost(uint64, tag = "9")]
    pub exported_parts: u64,
    /// Number of the last close line.
    #[prost(uint64, tag = "10")]
    pub last_close: u64,
}

impl LedgerState {
    /// Applies the line with this number.
    ///
    /// # Errors
    /// Returns a [`LineError`] if the line contradicts earlier lines, which means that it was not written by
    /// this program.
    pub fn apply(&mut self, number: u64, line: &Line) -> Result<(), LineError> {
        if line.at_ms < self.latest_ms {
            return Err(LineError::Invalid("the line's time is before the time of an earlier line"));
        }
        let kind = line.kind.as_ref().ok_or(LineError::UnknownKind)?;
        if self.start.is_none() && !matches!(kind, LineKind::Start(_)) {
            return Err(LineError::Invalid("the line precedes the first start line"));
        }
        match kind {
            LineKind::Start(start) => self.apply_start(line.at_ms, start)?,
            LineKind::Usage(usage) => self.check_usage(usage)?,
            LineKind::Correction(correction) => self.check_correction(number, correction)?,
            LineKind::Close(close) => self.apply_close(number, line.at_ms, close)?,
            LineKind::Export(export) => self.apply_export(export)?,
            LineKind::Unbilled(_) => {}
        }
        self.latest_ms = line.at_ms;
        Ok(())
    }

    fn apply_start(&mut self, at_ms: u64, start: &Start) -> Result<(), LineError> {
        if self.start.as_ref().is_some_and(|previous| previous.start >= start.start) {
            return Err(LineError::Invalid("the start id is not greater than the previous one"));
        }
        if self.ledger_id == 0 {
            self.ledger_id = start.start;
            self.closed_to = at_ms - at_ms % start.period_ms;
        }
        self.start = Some(start.clone());
        Ok(())
    }

    fn check_usage(&self, usage: &Usage) -> Result<(), LineError> {
        if usage.period < self.closed_to {
            return Err(LineError::Invalid("the line adds to a closed period"));
        }
        if usage.original_period.is_some_and(|original| original >= self.closed_to) {
            return Err(LineError::Invalid("the original period of the usage is still open"));
        }
        let classes = self.start.as_ref().map_or(0, |start| start.classes.len());
        if usage.entries.iter().any(|entry| entry.class as usize >= classes) {
            return Err(LineError::Invalid("a usage entry has a class that is not in the start line"));
        }
        Ok(())
    }

    fn check_correction(&self, number: u64, correction: &Correction) -> Result<(), LineError> {
        if correction.period < self.closed_to {
            return Err(LineError::Invalid("the line adds to a closed period"));
        }
        if correction.corrects.number >= number && correction.corrects.start >= self.ledger_id {
            return Err(LineError::Invalid("the correction refers to a later line"));
        }
        Ok(())
    }

    fn apply_close(&mut self, number: u64, at_ms: u64, close: &Close) -> Result<(), LineError> {
        if close.from != self.closed_to || close.to > at_ms {
            return Err(LineError::Invalid(
                "the close does not continue the previous one, or ends after the line's time",
            ));
        }
        self.closed_to = close.to;
        self.last_close = number;
        Ok(())
    }

    fn apply_export(&mut self, export: &Export) -> Result<(), LineError> {
        match &self.prepared_batch {
            None if self.may_prepare(export) => {
                self.last_batch = export.batch;
                self.prepared_batch = Some(export.clone());
                Ok(())
            }
            Some(prepared) if export.acknowledged => {
                if (export.batch, &export.digest) != (prepared.batch, &prepared.digest) {
                    return Err(LineError::Invalid("the acknowledged batch is not the prepared one"));
                }
                self.last_digest = export.digest.clone();
                self.exported_parts += 1;
                if prepared.last {
                    self.last_exported_close = prepared.close;
                    self.exported_parts = 0;
                }
                self.prepared_batch = None;
                Ok(())
            }
            _ => Err(LineError::Invalid("the export line is out of order")),
        }
    }

    fn may_prepare(&self, export: &Export) -> bool {
        !export.acknowledged && export.batch == self.last_batch + 1 && export.close > self.last_exported_close
    }

    /// Returns the length of the periods, in ms.
    pub fn period_ms(&self) -> u64 {
        self.start.as_ref().map_or(1, |start| start.period_ms.max(1))
    }

    /// Returns the start of the period that is open at this time, in Unix ms. A time in a closed period is
    /// assigned to the first open period.
    pub fn open_period(&self, at_ms: u64) -> u64 {
        (at_ms - at_ms % self.period_ms()).max(self.closed_to)
    }
}
