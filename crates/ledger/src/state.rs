//! The state that the lines so far imply for the next one.
//!
//! It holds the ledger's time, how far periods are closed and how far batches are exported. Its size is constant; amounts
//! are read from the lines when they are needed ([`totals`](crate::totals)). Recovery and verification of a ledger apply
//! the same checks.

use crate::line::{Close, Correction, Export, Line, LineError, LineKind, Start, Usage};
use prost::Message;

/// The state after a number of lines.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerState {
    /// The ledger's time: the latest of any line, Unix ms.
    #[prost(uint64, tag = "1")]
    pub latest_ms: u64,
    /// All before this time is closed, Unix ms.
    #[prost(uint64, tag = "2")]
    pub closed_to: u64,
    /// The last start.
    #[prost(message, optional, tag = "3")]
    pub start: Option<Start>,
    /// The id of the ledger's first start: tells this ledger from one of the same server that was lost.
    #[prost(uint64, tag = "4")]
    pub ledger_id: u64,
    /// The number of the last batch that was prepared.
    #[prost(uint64, tag = "5")]
    pub last_batch: u64,
    /// The last batch, while it is not acknowledged.
    #[prost(message, optional, tag = "6")]
    pub prepared_batch: Option<Export>,
    /// The digest of the last batch, acknowledged, empty before the first; each batch names that of the one before.
    #[prost(bytes = "vec", tag = "7")]
    pub last_digest: Vec<u8>,
    /// The number of the last close line all batches of which are acknowledged.
    #[prost(uint64, tag = "8")]
    pub last_exported_close: u64,
    /// Batches of the next close that are acknowledged.
    #[prost(uint64, tag = "9")]
    pub exported_parts: u64,
    /// The number of the last close line.
    #[prost(uint64, tag = "10")]
    pub last_close: u64,
}

impl LedgerState {
    /// Adds the line with this number.
    ///
    /// # Errors
    /// If the line contradicts those before it; then it was not written by this program.
    pub fn apply(&mut self, number: u64, line: &Line) -> Result<(), LineError> {
        if line.at_ms < self.latest_ms {
            return Err(LineError::Invalid("its time is before that of an earlier line"));
        }
        let kind = line.kind.as_ref().ok_or(LineError::UnknownKind)?;
        if self.start.is_none() && !matches!(kind, LineKind::Start(_)) {
            return Err(LineError::Invalid("it stands before the first start"));
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
        if self.start.as_ref().is_some_and(|before| before.start >= start.start) {
            return Err(LineError::Invalid("its start is not after the one before"));
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
            return Err(LineError::Invalid("it adds to a closed period"));
        }
        if usage.original_period.is_some_and(|original| original >= self.closed_to) {
            return Err(LineError::Invalid("it corrects a period that is open"));
        }
        let classes = self.start.as_ref().map_or(0, |start| start.classes.len());
        if usage.entries.iter().any(|entry| entry.class as usize >= classes) {
            return Err(LineError::Invalid("it names a class that its start does not have"));
        }
        Ok(())
    }

    fn check_correction(&self, number: u64, correction: &Correction) -> Result<(), LineError> {
        if correction.period < self.closed_to {
            return Err(LineError::Invalid("it adds to a closed period"));
        }
        if correction.corrects.number >= number && correction.corrects.start >= self.ledger_id {
            return Err(LineError::Invalid("it corrects a later line"));
        }
        Ok(())
    }

    fn apply_close(&mut self, number: u64, at_ms: u64, close: &Close) -> Result<(), LineError> {
        if close.from != self.closed_to || close.to > at_ms {
            return Err(LineError::Invalid("it closes other than the next periods that are over"));
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
                    return Err(LineError::Invalid("it acknowledges a batch that was not prepared"));
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
            _ => Err(LineError::Invalid("batches are out of order")),
        }
    }

    fn may_prepare(&self, export: &Export) -> bool {
        !export.acknowledged && export.batch == self.last_batch + 1 && export.close > self.last_exported_close
    }

    /// Returns the length of periods, ms.
    pub fn period_ms(&self) -> u64 {
        self.start.as_ref().map_or(1, |start| start.period_ms.max(1))
    }

    /// Returns the open period at a time, by its first ms. A time that is closed belongs to the first period that is not.
    pub fn open_period(&self, at_ms: u64) -> u64 {
        (at_ms - at_ms % self.period_ms()).max(self.closed_to)
    }
}
