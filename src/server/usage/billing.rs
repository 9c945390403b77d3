//! Billing of final replies on the serving thread. The store writes the resulting lines on a separate thread.
//!
//! Billing holds replies that may not be sent yet. It makes no decision about requests and never waits for
//! the disk.

use super::error::UsageError;
use super::usage_store::UsageStore;
use crate::operator::LedgerConfig;
use crate::server::messages::{EntryLine, ExportWorkerMessage, ReplyHandle, Response};
use dunlinspread_ledger::{
    AccountName, Action, LedgerGauges, LedgerSettings, LineKind, Notice, Outcome, ReplyDecision,
    UsageAccumulator, UsageRecord,
};
use dunlinspread_store::{PanicPayload, Progress, WriteFailure, Writer, WriterGauges, WriterOptions};
use slog::{Logger, error, info, warn};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Maximum number of records that may wait for the disk while replies are sent without waiting for it.
const MAX_WAITING_RECORDS: usize = 1024;
/// Maximum number of records in the queue to the store's thread. The accumulator hands over one record at a
/// time except for spills, whose number is bounded by the number of requests that may be admitted.
const WRITER_QUEUE_RECORDS: usize = 1 << 16;
/// Commit delay of the fault-injection build that acknowledges records before they are durable, so that a
/// crash can lose acknowledged records.
const EARLY_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(400);

/// Usage of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestUsage {
    /// Position of the request's class.
    pub class: usize,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time in the worker pool, in ms.
    pub pool_ms: f64,
    /// Size of the request body in bytes.
    pub bytes_in: usize,
    /// Size of the result in bytes.
    pub bytes_out: usize,
}

/// Options of [`Billing`].
pub struct BillingOptions<'a> {
    /// The block `ledger` of the operator file.
    pub config: &'a LedgerConfig,
    /// Names of the classes, by position.
    pub classes: &'a [String],
    /// Maximum number of open aggregates.
    pub max_aggregates: usize,
    /// Current time in Unix ms.
    pub now_ms: u64,
}

/// Reply that is held until its line is durable.
struct HeldReply {
    /// The reply may be sent once the accumulator releases this mark or a later one.
    release_mark: u64,
    reply: ReplyHandle,
    response: Response,
}

/// Usage ledger of one server, on the serving thread.
pub struct Billing {
    accumulator: UsageAccumulator,
    writer: Writer,
    /// Ticket of the last record that the writer reported durable or failed.
    settled_through: u64,
    /// Generation of the writer after its last failure.
    generation: u64,
    /// Replies that wait for their lines, in the order of their marks.
    held_replies: VecDeque<HeldReply>,
    /// Replies that were held and may be sent now.
    ready_replies: Vec<(ReplyHandle, Response)>,
    /// Actions that the accumulator returned and that are not executed yet.
    actions: Vec<Action>,
    export_worker: Option<Sender<ExportWorkerMessage>>,
    log: Logger,
    permanent_failure_logged: bool,
    /// Whether records are acknowledged before they are durable (fault injection).
    acknowledges_early: bool,
}

impl Billing {
    /// Starts billing with an open store. The store's thread calls `on_progress` with its progress, and
    /// `on_panic` if it panics; replies that are held at that time are never released.
    ///
    /// # Errors
    /// Returns [`UsageError::Thread`] if the store's thread can't be started.
    pub fn start(
        store: UsageStore,
        options: &BillingOptions<'_>,
        on_progress: impl FnMut(Progress) + Send + 'static,
        on_panic: impl FnOnce(PanicPayload) + Send + 'static,
        log: Logger,
    ) -> Result<Billing, UsageError> {
        let (store_log, recovered) = store.into_parts();
        let mut actions = Vec::new();
        let settings = accumulator_settings(options);
        let accumulator = UsageAccumulator::start(options.now_ms, settings, recovered, &mut actions);
        let acknowledges_early = acknowledges_early();
        let writer_options = writer_options(acknowledges_early);
        let writer = Writer::start(store_log, writer_options, on_progress, on_panic);
        let writer = writer.map_err(UsageError::Thread)?;
        let mut billing = Billing {
            accumulator,
            writer,
            settled_through: 0,
            generation: 0,
            held_replies: VecDeque::new(),
            ready_replies: Vec::new(),
            actions,
            export_worker: None,
            log,
            permanent_failure_logged: false,
            acknowledges_early,
        };
        billing.execute_actions();
        Ok(billing)
    }

    /// Returns the id of the ledger. A new ledger has its id once billing is started.
    pub fn ledger_id(&self) -> u64 {
        self.accumulator.state().ledger_id
    }

    /// Sets the channel to the export worker.
    pub fn set_export_worker(&mut self, export_worker: Sender<ExportWorkerMessage>) {
        self.export_worker = Some(export_worker);
    }

    /// Bills a reply. Returns the reply if it may be sent at once; otherwise holds it until its line is
    /// durable.
    pub fn bill(
        &mut self,
        now_ms: f64,
        account: Option<&Rc<str>>,
        usage: &RequestUsage,
        reply: ReplyHandle,
        response: Response,
    ) -> Option<(ReplyHandle, Response)> {
        match self.record_usage(now_ms, account, usage, 1) {
            ReplyDecision::SendNow => Some((reply, response)),
            ReplyDecision::HoldUntil(release_mark) => {
                self.held_replies.push_back(HeldReply { release_mark, reply, response });
                None
            }
        }
    }

    /// Bills usage without a reply: that of a cancelled request, or, if `requests` is 0, what a run used
    /// after its reply.
    pub fn bill_without_reply(
        &mut self,
        now_ms: f64,
        account: Option<&Rc<str>>,
        usage: &RequestUsage,
        requests: u64,
    ) {
        self.record_usage(now_ms, account, usage, requests);
    }

    fn record_usage(
        &mut self,
        now_ms: f64,
        account: Option<&Rc<str>>,
        usage: &RequestUsage,
        requests: u64,
    ) -> ReplyDecision {
        // The frontend rejects invalid account names, so parsing succeeds.
        let account = account.and_then(|name| AccountName::parse(name).ok());
        let record = UsageRecord {
            requests,
            account: account.unwrap_or(AccountName::unattributed()),
            class: usage.class as u16,
            outcome: usage.outcome,
            pool_us: (usage.pool_ms.max(0.0) * 1000.0) as u64,
            bytes_in: usage.bytes_in as u64,
            bytes_out: usage.bytes_out as u64,
        };
        let decision = self.accumulator.bill(now_ms as u64, &record, &mut self.actions);
        if !self.actions.is_empty() {
            self.execute_actions();
        }
        decision
    }

    /// Writes the due aggregates if the store is idle. Called after billing the replies of one event.
    pub fn flush_if_due(&mut self, now_ms: f64) {
        self.accumulator.flush_if_due(now_ms as u64, &mut self.actions);
        self.execute_actions();
    }

    /// Advances the ledger's time.
    pub fn tick(&mut self, now_ms: f64) {
        self.accumulator.tick(now_ms as u64, &mut self.actions);
        self.execute_actions();
    }

    /// Handles progress of the store.
    pub fn on_store_progress(&mut self, now_ms: f64, progress: Progress) {
        match progress {
            Progress::Durable { through, .. } => self.on_durable(now_ms, through),
            Progress::Failed { through, reason, generation, .. } => {
                self.generation = generation;
                self.on_failed(through, &reason);
            }
            Progress::Snapshot { before, failure: None } => {
                info!(self.log, "old lines released"; "before" => before);
            }
            Progress::Snapshot { before, failure: Some(failure) } => {
                warn!(self.log, "old lines not released yet"; "before" => before,
                    "error" => format!("{failure:?}"));
            }
        }
        self.execute_actions();
    }

    fn on_durable(&mut self, now_ms: f64, through: u64) {
        // These records were acknowledged early, which happens only in the fault-injection build.
        if through <= self.settled_through {
            return;
        }
        let count = self.settle(through);
        self.accumulator.on_durable(now_ms as u64, count, &mut self.actions);
    }

    fn on_failed(&mut self, through: u64, failure: &WriteFailure) {
        let count = self.settle(through);
        let reason = match failure {
            WriteFailure::NoSpace => "the disk is full".to_owned(),
            WriteFailure::NotAttempted => "an earlier line was not written".to_owned(),
            WriteFailure::Poisoned(error) => error.to_string(),
        };
        let is_permanent = matches!(failure, WriteFailure::Poisoned(_));
        if is_permanent && !self.permanent_failure_logged {
            self.permanent_failure_logged = true;
            error!(self.log, "store failed permanently, restart required"; "error" => reason.as_str());
        }
        self.accumulator.on_failed(&reason, count, &mut self.actions);
    }

    /// Marks all records up to a ticket as durable or failed. Returns how many were neither before.
    fn settle(&mut self, through: u64) -> usize {
        let count = through - self.settled_through;
        self.settled_through = through;
        count as usize
    }

    /// Appends a line for the export worker, which is notified once the line is durable or rejected.
    pub fn append_entry(&mut self, now_ms: f64, kind: LineKind, tag: u64) {
        let appended = self.accumulator.append_entry(now_ms as u64, kind, tag, &mut self.actions);
        if appended.is_err() {
            self.notify_export_worker(ExportWorkerMessage::EntryRejected { tag });
        }
        self.execute_actions();
    }

    /// Requests that the store replace the lines before `before` by `state`, the encoded state after them.
    pub fn release_lines(&mut self, before: u64, state: Vec<u8>) {
        if !self.writer.snapshot(before, state) {
            warn!(self.log, "old lines not released yet"; "before" => before, "error" => "the store is busy");
        }
    }

    /// Closes all periods up to now ahead of schedule. If that is not possible, notifies the export worker
    /// that the request with this tag is rejected.
    pub fn close_periods(&mut self, now_ms: f64, tag: u64) {
        if self.accumulator.close_early(now_ms as u64, &mut self.actions).is_err() {
            self.notify_export_worker(ExportWorkerMessage::EntryRejected { tag });
        }
        self.execute_actions();
    }

    /// Removes and returns the replies that were held and may be sent now.
    pub fn take_ready_replies(&mut self) -> std::vec::Drain<'_, (ReplyHandle, Response)> {
        self.ready_replies.drain(..)
    }

    /// Returns whether new requests may be admitted.
    pub fn accepts_requests(&self) -> bool {
        self.accumulator.accepts_requests()
    }

    /// Returns the current gauges of the ledger and its writer.
    pub fn gauges(&self) -> (LedgerGauges, WriterGauges) {
        (self.accumulator.gauges(), self.writer.gauges())
    }

    /// Hands over all pending usage to the writer and returns the writer. Closing it waits for the disk.
    pub fn shut_down(mut self, now_ms: f64) -> Writer {
        self.accumulator.finish(now_ms as u64, &mut self.actions);
        self.execute_actions();
        self.notify_export_worker(ExportWorkerMessage::Shutdown);
        self.writer
    }

    fn notify_export_worker(&self, message: ExportWorkerMessage) {
        if let Some(export_worker) = &self.export_worker {
            // Sending fails only if the worker's thread has ended because of an error, which the worker has
            // logged.
            let _ = export_worker.send(message);
        }
    }

    fn execute_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut early_ticket = None;
        for action in actions.drain(..) {
            match action {
                Action::Append(record) => early_ticket = self.append_to_store(record).or(early_ticket),
                Action::Resume => self.writer.resume(self.generation),
                Action::Release(mark) => self.release_replies(mark),
                Action::AcceptRequests(accepted) => {
                    info!(self.log, "admission of new requests changed"; "accepted" => accepted);
                }
                Action::PeriodsClosed(number) => {
                    self.notify_export_worker(ExportWorkerMessage::PeriodsClosed(number));
                }
                Action::EntryDurable { tag, number } => {
                    let start = self.accumulator.state().start.as_ref().map_or(0, |start| start.start);
                    let line = EntryLine { start, number };
                    self.notify_export_worker(ExportWorkerMessage::EntryDurable { tag, line });
                }
                Action::Notify(notice) => self.log_notice(&notice),
            }
        }
        self.actions = actions;
        if let Some(through) = early_ticket {
            self.on_store_progress(0.0, Progress::Durable { through, next: 0 });
        }
    }

    /// Hands over a record to the writer. Returns its ticket only in the fault-injection build.
    fn append_to_store(&mut self, record: Vec<u8>) -> Option<u64> {
        let ticket = self.writer.append(record);
        assert!(ticket.is_ok(), "the accumulator handed over more records than the writer's queue holds");
        ticket.ok().filter(|_| self.acknowledges_early)
    }

    fn release_replies(&mut self, mark: u64) {
        while self.held_replies.front().is_some_and(|held| held.release_mark <= mark) {
            let held = self.held_replies.pop_front();
            self.ready_replies.extend(held.map(|held| (held.reply, held.response)));
        }
    }

    fn log_notice(&self, notice: &Notice) {
        match notice {
            Notice::StoreFailing(reason) => {
                warn!(self.log, "lines cannot be written"; "reason" => reason.as_str());
            }
            Notice::StoreRecovered { unbilled } => {
                info!(self.log, "writing of lines recovered"; "unbilled" => unbilled);
            }
            Notice::UncleanShutdown { at_most } => {
                let at_most = at_most.map_or("unknown".to_owned(), |count| count.to_string());
                warn!(self.log, "previous shutdown was unclean, replies may be unbilled";
                    "at_most" => at_most);
            }
            Notice::ClosedLate { from, to } => {
                warn!(self.log, "closing periods that ended while the server was down";
                    "from_ms" => from, "to_ms" => to);
            }
            Notice::ClockBehind(behind_ms) => {
                warn!(self.log, "clock is behind the last line"; "behind_ms" => behind_ms);
            }
        }
    }
}

fn accumulator_settings(options: &BillingOptions<'_>) -> LedgerSettings {
    LedgerSettings {
        period_ms: options.config.period_ms,
        grace_ms: options.config.grace_ms,
        mode: options.config.mode,
        on_failure: options.config.on_failure,
        classes: options.classes.to_vec(),
        cells: options.max_aggregates,
        records: MAX_WAITING_RECORDS,
    }
}

fn writer_options(acknowledges_early: bool) -> WriterOptions {
    WriterOptions {
        queue_records: WRITER_QUEUE_RECORDS,
        queue_bytes: usize::MAX,
        max_batch_delay: if acknowledges_early { EARLY_ACKNOWLEDGEMENT_DELAY } else { Duration::ZERO },
        ..WriterOptions::default()
    }
}

/// Returns whether records are acknowledged before they are durable. Only test builds have the feature, and
/// only the test that verifies that the crash drill detects lost records sets the variable.
fn acknowledges_early() -> bool {
    cfg!(feature = "test-faults") && std::env::var_os("DUNLINSPREAD_ACKNOWLEDGE_EARLY").is_some()
}
