//! Export of closed periods, one step at a time.
//!
//! A batch is built from the ledger's lines, recorded in the ledger as prepared before it is sent, sent until
//! it is acknowledged, and recorded as acknowledged before the next batch is built.
//! [`export_protocol`](dunlinspread_ledger::export_protocol) determines the order of these steps.

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

/// Result of one step of the export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExportStep {
    /// The step made progress; the next one can follow at once.
    Advanced,
    /// There is nothing to export until a period is closed.
    Idle,
}

/// Options of a [`BatchExporter`].
pub(super) struct ExporterOptions {
    /// Name of the server.
    pub(super) server: String,
    /// Id of the server's ledger.
    pub(super) ledger_id: u64,
    /// Maximum number of items in a batch.
    pub(super) batch_lines: usize,
    /// Approximate maximum number of totals that are held in memory at a time.
    pub(super) max_totals: usize,
    /// Transport to the collector.
    pub(super) transport: ExportTransport,
    /// Digest exchange with other servers, if peers are configured.
    pub(super) digest_exchange: Option<DigestExchange>,
    /// Log of the exporter.
    pub(super) log: Logger,
}

/// Exports the closed periods of one ledger.
///
/// # Invariants
/// A batch is sent only after its prepared line is durable, and has the same content each time it is sent.
pub(super) struct BatchExporter {
    options: ExporterOptions,
    sender: ExportSender,
    /// Whether the collector has reported its watermark since the start of this process.
    watermark_known: bool,
    /// Number of the last close line whose batches are all acknowledged.
    last_exported_close: u64,
    /// Number of acknowledged batches of the next close line.
    exported_parts: u64,
    /// Digest of the last acknowledged batch.
    last_digest: Vec<u8>,
    /// Line of the prepared batch, until that is acknowledged.
    prepared: Option<Export>,
    /// First line that may belong to a period that is not exported yet.
    first_needed: LinePosition,
    fault_logged: bool,
}

impl BatchExporter {
    /// Returns an exporter that resumes from the state of an opened ledger.
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

    /// Returns the number of the first line that the export still needs. If export is disabled, that is the
    /// last close line.
    pub(super) fn first_needed(&self, latest_close: u64) -> u64 {
        if self.options.transport.is_enabled() { self.first_needed.number } else { latest_close }
    }

    /// Executes the next step of the export.
    ///
    /// # Errors
    /// - [`ExportError::Retryable`] if the step fails; it can be repeated.
    /// - [`ExportError::ShuttingDown`] if the process is shutting down.
    pub(super) fn step(
        &mut self,
        disk: &dyn Disk,
        link: &mut DispatcherLink,
    ) -> Result<ExportStep, ExportError> {
        if !self.options.transport.is_enabled() {
            return Ok(ExportStep::Idle);
        }
        if !self.watermark_known {
            self.fetch_watermark()?;
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

    fn fetch_watermark(&mut self) -> Result<(), ExportError> {
        let reply = self.options.transport.watermark(&self.options.server, self.options.ledger_id)?;
        self.sender.on_watermark(&reply);
        Ok(())
    }

    /// Builds the next batch and records it in the ledger as prepared.
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

    /// Rebuilds the prepared batch and sends it to the collector.
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
                "batch" => number, "prepared_digest" => hex(&prepared.digest),
                "rebuilt_digest" => hex(&digest));
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

    /// Records the prepared batch in the ledger as acknowledged.
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

    /// Logs a fault once. Exports stop until the process is restarted.
    fn stop_at_fault(&mut self, fault: ExportFault) -> ExportStep {
        if !std::mem::replace(&mut self.fault_logged, true) {
            error!(self.options.log, "exports stopped, an operator has to look";
                "error" => fault.to_string());
        }
        ExportStep::Idle
    }

    /// Passes the lines from the first needed one to the last close line to `visit`, with their numbers.
    fn visit_lines(
        &self,
        disk: &dyn Disk,
        latest_close: u64,
        visit: &mut dyn FnMut(u64, &Line),
    ) -> Result<(), StoreError> {
        read_lines(disk, &self.options.server, self.first_needed.number..latest_close + 1, visit)
    }

    /// Returns the number of the first close line that is not exported yet.
    fn next_close(&self, disk: &dyn Disk, latest_close: u64) -> Result<u64, ExportError> {
        let mut next = None;
        self.visit_lines(disk, latest_close, &mut |number, line| {
            if matches!(line.kind, Some(LineKind::Close(_))) && number > self.last_exported_close {
                next.get_or_insert(number);
            }
        })?;
        next.ok_or(RetryableError::CloseMissing.into())
    }

    /// Builds the next batch of a close line.
    fn build_batch(
        &self,
        disk: &dyn Disk,
        latest_close: u64,
        close: u64,
        number: u64,
    ) -> Result<Batch, ExportError> {
        // A prepared batch keeps its size even if the setting has changed since.
        let items = self.prepared.as_ref().map_or(self.options.batch_lines, |line| line.lines as usize);
        let plan = BatchPlan {
            server: &self.options.server,
            ledger_id: self.options.ledger_id,
            before: &self.first_needed.state,
            close,
            part: self.exported_parts,
            items,
            cells: self.options.max_totals,
            number,
            previous: &self.last_digest,
        };
        let batch = batch::build(&plan, |visit| self.visit_lines(disk, latest_close, visit))?;
        batch.ok_or(RetryableError::PartMissing.into())
    }

    /// Advances the first needed line after a close line was exported: lines from before the end of its
    /// periods can't belong to a later one.
    fn advance_first_needed(&mut self, disk: &dyn Disk, latest_close: u64) -> Result<(), ExportError> {
        let mut closed_to = None;
        self.visit_lines(disk, latest_close, &mut |number, line| {
            if let (Some(LineKind::Close(close)), true) = (&line.kind, number == self.last_exported_close) {
                closed_to = Some(close.to);
            }
        })?;
        let Some(closed_to) = closed_to else { return Ok(()) };
        let mut position = self.first_needed.clone();
        let (mut is_past_close, mut applied) = (false, Ok(()));
        self.visit_lines(disk, latest_close, &mut |number, line| {
            is_past_close |= line.at_ms >= closed_to || applied.is_err();
            if !is_past_close {
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
