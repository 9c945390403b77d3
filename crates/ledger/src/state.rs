//! What the lines of a ledger add up to, as far as the next line needs it: the time that never goes back, how far
//! periods are closed, how far batches are exported. It is of constant size; amounts are read from the lines when they
//! are needed (`totals`). The same walk that recovers a ledger verifies it.

use crate::line::{Export, Line, LineError, LineKind, Start};
use prost::Message;

/// The sum of the lines so far.
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
    /// The first start there was: the mark of this ledger, as distinct from one of the same server that was lost.
    #[prost(uint64, tag = "4")]
    pub ledger_id: u64,
    /// The number of the last batch that was prepared.
    #[prost(uint64, tag = "5")]
    pub last_batch: u64,
    /// That batch, as long as it is not acknowledged.
    #[prost(message, optional, tag = "6")]
    pub prepared_batch: Option<Export>,
    /// The digest of the last batch, empty before the first: each batch names that of the one before.
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
    /// Adds the line with that number.
    ///
    /// # Errors
    /// If it contradicts the lines before it: no program that keeps the rules has written it.
    pub fn apply(&mut self, number: u64, line: &Line) -> Result<(), LineError> {
        let wrong = |what| Err(LineError::Invalid(what));
        if line.at_ms < self.latest_ms {
            return wrong("its time is before that of an earlier line");
        }
        let kind = line.kind.as_ref().ok_or(LineError::UnknownKind)?;
        if self.start.is_none() && !matches!(kind, LineKind::Start(_)) {
            return wrong("it stands before the first start");
        }
        match kind {
            LineKind::Start(start) => {
                if self.start.as_ref().is_some_and(|s| s.start >= start.start) {
                    return wrong("its start is not after the one before");
                }
                if self.ledger_id == 0 {
                    self.ledger_id = start.start;
                    self.closed_to = line.at_ms - line.at_ms % start.period_ms;
                }
                self.start = Some(start.clone());
            }
            LineKind::Usage(usage) => {
                if usage.period < self.closed_to {
                    return wrong("it adds to a closed period");
                }
                if usage.original_period.is_some_and(|of| of >= self.closed_to) {
                    return wrong("it corrects a period that is open");
                }
                let classes = self.start.as_ref().map_or(0, |s| s.classes.len());
                if usage.entries.iter().any(|e| e.class as usize >= classes) {
                    return wrong("it names a class that its start does not have");
                }
            }
            LineKind::Correction(correction) => {
                if correction.period < self.closed_to {
                    return wrong("it adds to a closed period");
                }
                if correction.corrects.number >= number && correction.corrects.start >= self.ledger_id {
                    return wrong("it corrects a later line");
                }
            }
            LineKind::Close(close) => {
                if close.from != self.closed_to || close.to > line.at_ms {
                    return wrong("it closes other than the next periods that are over");
                }
                (self.closed_to, self.last_close) = (close.to, number);
            }
            LineKind::Export(export) => self.export(export)?,
            LineKind::Unbilled(_) => {}
        }
        self.latest_ms = line.at_ms;
        Ok(())
    }

    fn export(&mut self, export: &Export) -> Result<(), LineError> {
        match &self.prepared_batch {
            None if !export.acknowledged
                && export.batch == self.last_batch + 1
                && export.close > self.last_exported_close =>
            {
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
                    (self.last_exported_close, self.exported_parts) = (prepared.close, 0);
                }
                self.prepared_batch = None;
                Ok(())
            }
            _ => Err(LineError::Invalid("batches are out of order")),
        }
    }

    /// The length of periods, ms.
    pub fn period_ms(&self) -> u64 {
        self.start.as_ref().map_or(1, |s| s.period_ms.max(1))
    }

    /// The open period at a time, by its first ms. A time that is closed belongs to the first period that is not.
    pub fn period(&self, at_ms: u64) -> u64 {
        (at_ms - at_ms % self.period_ms()).max(self.closed_to)
    }
}
