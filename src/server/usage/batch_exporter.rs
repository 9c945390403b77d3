//! The export of closed periods, step by step.
//!
//! A batch is built from the ledger's lines, entered as prepared before it is sent, sent until it is acknowledged, and
//! entered as acknowledged before the next one is built. The order is settled by
//! [`export_protocol`](dunlinspread_ledger::export_protocol).

use super::digest_exchange::DigestExchange;
use super::dispatcher_link::DispatcherLink;
use super::export_error::{ExportError, RetryableError};
use super::export_transport::ExportTransport;
use super::retention::LinePosition;
use super::usage_store::OpenedLedger;
use dunlinspread_ledger::batch::{self, Batch, BatchPlan, Digest, hex};
use dunlinspread_ledger::export_protocol::{ExportFault, ExportSender, SenderAction};
use dunlinspread_ledger::{Export, Line, LineKind, read_lines};
use dunlinspread_store::{Disk, StoreError};
use slog::{Logger, error, info};

/// What a step of the export did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExportStep {
    /// Something; the next step can follow at once.
    Advanced,
    /// Nothing is to be done until a period is closed.
    Idle,
}

/// What a batch exporter is made of.
pub(super) struct ExporterOptions {
    /// The server.
    pub(super) server: String,
    /// The id of its ledger.
    pub(super) ledger_id: u64,
    /// Items of a batch at most.
    pub(super) batch_lines: usize,
    /// Totals held at a time.
    pub(super) cells: usize,
    /// The way to the collector.
    pub(super) transport: ExportTransport,
    /// The exchange with other servers, where they may talk.
    pub(super) digest_exchange: Option<DigestExchange>,
    /// The log.
    pub(super) log: Logger,
}

/// Exports the closed periods of one ledger.
///
/// # Invariants
/// A batch is sent only after its line is durable, and is the same each time.
pub(super) struct BatchExporter {
    options: ExporterOptions,
    sender: ExportSender,
    /// Whether the collector reported its watermark since the start.
    watermark_known: bool,
    /// The number of the last close line all batches of which are acknowledged.
    last_exported_close: u64,
    /// Batches of the next close that are acknowledged.
    exported_parts: u64,
    /// The digest of the last batch that is acknowledged.
    last_digest: Vec<u8>,
    /// The line of the batch that is prepared.
    prepared: Option<Export>,
    /// From this line on, lines may belong to periods that are not exported.
    first_needed: LinePosition,
    fault_logged: bool,
}

impl BatchExporter {
    /// Returns an exporter that goes on from the state of a ledger that was opened.
    pub(super) fn new(options: ExporterOptions, opened: &OpenedLedger) -> BatchExporter {
        let state = &opened.state;
        let acknowledged = state.last_batch - u64::from(state.prepared_batch.is_some());
        let prepared_digest = state.prepared_batch.as_ref().map(digest_of_line);
        BatchExporter {
            options,
            sender: ExportSender::new(acknowledged, prepared_digest),
            watermark_known: false,
            last_exported_close: state.last_exported_close,
            exported_parts: state.exported_parts,
            last_digest: state.last_digest.clone(),
            prepared: state.prepared_batch.clone(),
            first_needed: LinePosition::first(opened),
            fault_logged: false,
        }
    }

    /// Returns the first line that the export still needs; without an export that is the last close line.
    pub(super) fn first_needed(&self, latest_close: u64) -> u64 {
        if self.options.transport.is_enabled() { self.first_needed.number } else { latest_close }
    }

    /// Does the next thing that is to be done.
    ///
    /// # Errors
    /// If it can't be done now, or the program ends.
    pub(super) fn step(
        &mut self,
        disk: &dyn Disk,
        link: &mut DispatcherLink,
    ) -> Result<ExportStep, ExportError> {
        if !self.options.transport.is_enabled() {
            return Ok(ExportStep::Idle);
        }
        if !self.watermark_known {
            self.ask_for_watermark()?;
            self.watermark_known = true;
            return Ok(ExportStep::Advanced);
        }
        match self.sender.next() {
            SenderAction::Idle if link.latest_close() <= self.last_exported_close => Ok(ExportStep::Idle),
            SenderAction::Idle => self.prepare_batch(disk, link),
            SenderAction::Send(number) => self.send_batch(number, disk, link),
            SenderAction::RecordAcknowledgement(number) => self.record_acknowledgement(number, disk, link),
            SenderAction::Fault(fault) => Ok(self.stop_at_fault(fault)),
        }
    }

    fn ask_for_watermark(&mut self) -> Result<(), ExportError> {
        let reply = self.options.transport.watermark(&self.options.server, self.options.ledger_id)?;
        self.sender.on_watermark(&reply);
        Ok(())
    }

    /// Builds the next batch and has it entered as prepared.
    fn prepare_batch(
        &mut self,
        disk: &dyn Disk,
        link: &mut DispatcherLink,
    ) -> Result<ExportStep, ExportError> {
        let latest_close = link.latest_close();
        let close = self.next_close(disk, latest_close)?;
        let number = self.sender.acknowledged() + 1;
        let batch = self.build_batch(disk, latest_close, close, number)?;
        let (_, digest) = batch.encode_with_digest();
        let line = Export {
            batch: number,
            digest: digest.to_vec(),
            close,
            last: batch.last,
            lines: self.options.batch_lines as u64,
            acknowledged: false,
        };
        link.append_entry(LineKind::Export(line.clone()))?;
        self.sender.batch_prepared(digest)?;
        self.prepared = Some(line);
        if let Some(exchange) = &self.options.digest_exchange {
            exchange.add_own_batch(number, &digest, batch.close.from..batch.close.to);
        }
        Ok(ExportStep::Advanced)
    }

    /// Builds the prepared batch again and offers it to the collector.
    fn send_batch(
        &mut self,
        number: u64,
        disk: &dyn Disk,
        link: &DispatcherLink,
    ) -> Result<ExportStep, ExportError> {
        let prepared = self.prepared.clone().ok_or(RetryableError::NoPreparedBatch)?;
        let batch = self.build_batch(disk, link.latest_close(), prepared.close, number)?;
        let (bytes, digest) = batch.encode_with_digest();
        if digest[..] != prepared.digest {
            error!(self.options.log, "rebuilt batch differs from the prepared one, nothing is sent";
                "batch" => number, "prepared_digest" => hex(&prepared.digest), "rebuilt_digest" => hex(&digest));
            return Err(RetryableError::BatchDiffers.into());
        }
        let (server, ledger_id) = (&self.options.server, self.options.ledger_id);
        let reply = self.options.transport.offer(server, ledger_id, number, &bytes)?;
        self.sender.on_reply(&reply);
        match self.sender.next() {
            SenderAction::RecordAcknowledgement(_) | SenderAction::Fault(_) => Ok(ExportStep::Advanced),
            _ => Err(RetryableError::CollectorBehind(reply.watermark).into()),
        }
    }

    /// Has the prepared batch entered as acknowledged.
    fn record_acknowledgement(
        &mut self,
        number: u64,
        disk: &dyn Disk,
        link: &mut DispatcherLink,
    ) -> Result<ExportStep, ExportError> {
        let mut line = self.prepared.clone().ok_or(RetryableError::NoPreparedBatch)?;
        line.acknowledged = true;
        link.append_entry(LineKind::Export(line.clone()))?;
        self.sender.acknowledgement_recorded();
        self.last_digest = line.digest;
        self.prepared = None;
        self.exported_parts += 1;
        if line.last {
            self.last_exported_close = line.close;
            self.exported_parts = 0;
            self.advance_first_needed(disk, link.latest_close())?;
        }
        info!(self.options.log, "batch exported"; "batch" => number, "last" => line.last);
        Ok(ExportStep::Advanced)
    }

    /// Logs a fault once. Nothing is exported until the next start.
    fn stop_at_fault(&mut self, fault: ExportFault) -> ExportStep {
        if !std::mem::replace(&mut self.fault_logged, true) {
            error!(self.options.log, "exports stopped, an operator has to look"; "error" => fault.to_string());
        }
        ExportStep::Idle
    }

    /// Shows the lines from the first that is needed to the last close.
    fn show_lines(
        &self,
        disk: &dyn Disk,
        latest_close: u64,
        show: &mut dyn FnMut(u64, &Line),
    ) -> Result<(), StoreError> {
        read_lines(disk, &self.options.server, self.first_needed.number..latest_close + 1, show)
    }

    /// Returns the number of the first close line that is not exported.
    fn next_close(&self, disk: &dyn Disk, latest_close: u64) -> Result<u64, ExportError> {
        let mut next = None;
        self.show_lines(disk, latest_close, &mut |number, line| {
            if matches!(line.kind, Some(LineKind::Close(_))) && number > self.last_exported_close {
                next.get_or_insert(number);
            }
        })?;
        next.ok_or(RetryableError::CloseMissing.into())
    }

    fn build_batch(
        &self,
        disk: &dyn Disk,
        latest_close: u64,
        close: u64,
        number: u64,
    ) -> Result<Batch, ExportError> {
        // A batch that is prepared keeps its size whatever the settings say since.
        let items = self.prepared.as_ref().map_or(self.options.batch_lines, |line| line.lines as usize);
        let plan = BatchPlan {
            server: &self.options.server,
            ledger_id: self.options.ledger_id,
            before: &self.first_needed.state,
            close,
            part: self.exported_parts,
            items,
            cells: self.options.cells,
            number,
            previous: &self.last_digest,
        };
        let batch = batch::build(&plan, |show| self.show_lines(disk, latest_close, show))?;
        batch.ok_or(RetryableError::PartMissing.into())
    }

    /// Moves the first line that is needed on after a close is exported: lines from before its end can't belong to a
    /// later one.
    fn advance_first_needed(&mut self, disk: &dyn Disk, latest_close: u64) -> Result<(), ExportError> {
        let mut closed_to = None;
        self.show_lines(disk, latest_close, &mut |number, line| {
            if let (Some(LineKind::Close(close)), true) = (&line.kind, number == self.last_exported_close) {
                closed_to = Some(close.to);
            }
        })?;
        let Some(closed_to) = closed_to else { return Ok(()) };
        let mut position = self.first_needed.clone();
        let (mut found, mut applied) = (false, Ok(()));
        self.show_lines(disk, latest_close, &mut |number, line| {
            found |= line.at_ms >= closed_to || applied.is_err();
            if !found {
                applied = position.state.apply(number, line);
                position.number = number + 1;
            }
        })?;
        applied?;
        self.first_needed = position;
        Ok(())
    }
}

fn digest_of_line(line: &Export) -> Digest {
    line.digest.clone().try_into().unwrap_or_default()
}
