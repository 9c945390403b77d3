//! The export worker, on a thread of its own: exports closed periods, executes operators' requests, and releases old
//! lines. It never holds up serving.

use super::batch_exporter::{BatchExporter, ExportStep, ExporterOptions};
use super::digest_exchange::DigestExchange;
use super::dispatcher_link::DispatcherLink;
use super::export_error::{ExportError, WorkerStartError};
use super::export_transport::ExportTransport;
use super::operator_requests::OperatorRequests;
use super::retention::Retention;
use super::usage_store::OpenedLedger;
use crate::operator::ExportTarget;
use crate::server::messages::{ExportWorkerMessage, UsageMessage};
use dunlinspread_ledger::operator_request::REQUESTS_FOLDER;
use dunlinspread_store::RealDisk;
use slog::{Logger, error, warn};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// The backoff after the first attempt that failed; it doubles with each further one up to the last.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// How often operators' requests are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// What the export worker is made of.
pub struct ExportWorkerOptions {
    /// The server.
    pub server: String,
    /// The directory of the ledger's store.
    pub directory: String,
    /// Where batches are exported to, if anywhere.
    pub target: Option<ExportTarget>,
    /// Items of a batch at most.
    pub batch_lines: usize,
    /// How long lines are kept, ms.
    pub keep_ms: u64,
    /// Totals held at a time.
    pub cells: usize,
    /// The id of the ledger.
    pub ledger_id: u64,
    /// What opening the ledger found.
    pub opened: OpenedLedger,
    /// The exchange with other servers, where they may talk.
    pub digest_exchange: Option<DigestExchange>,
    /// Messages to the worker.
    pub messages: Receiver<ExportWorkerMessage>,
    /// Where messages to the dispatcher go.
    pub dispatcher: async_channel::Sender<UsageMessage>,
    /// The log.
    pub log: Logger,
}

/// The export worker of one ledger.
pub struct ExportWorker {
    disk: RealDisk,
    link: DispatcherLink,
    requests: OperatorRequests,
    retention: Retention,
    exporter: BatchExporter,
    log: Logger,
}

impl ExportWorker {
    /// Runs until the program ends. If the worker can't start, that is logged, and serving goes on without it.
    pub fn run(options: ExportWorkerOptions) {
        let log = options.log.clone();
        match ExportWorker::start(options) {
            Ok(mut worker) => worker.run_until_shutdown(),
            Err(error) => {
                error!(log, "export worker did not start, nothing is exported until the next start";
                    "error" => error.to_string());
            }
        }
    }

    fn start(options: ExportWorkerOptions) -> Result<ExportWorker, WorkerStartError> {
        let ExportWorkerOptions { server, opened, log, .. } = options;
        let disk = RealDisk::new(Path::new(&options.directory))?;
        let requests_folder = create_requests_folder(&options.directory)?;
        let exporter_options = ExporterOptions {
            server: server.clone(),
            ledger_id: options.ledger_id,
            batch_lines: options.batch_lines,
            cells: options.cells,
            transport: ExportTransport::new(options.target.as_ref()),
            digest_exchange: options.digest_exchange,
            log: log.clone(),
        };
        Ok(ExportWorker {
            disk,
            link: DispatcherLink::new(options.messages, options.dispatcher, opened.state.last_close),
            requests: OperatorRequests::new(&server, requests_folder, log.clone()),
            retention: Retention::new(&server, options.keep_ms, &opened),
            exporter: BatchExporter::new(exporter_options, &opened),
            log,
        })
    }

    fn run_until_shutdown(&mut self) {
        let (mut backoff, mut failure_logged) = (MIN_BACKOFF, false);
        while !self.link.is_shutting_down() {
            match self.step() {
                Ok(ExportStep::Advanced) => (backoff, failure_logged) = (MIN_BACKOFF, false),
                Ok(ExportStep::Idle) => self.link.wait(POLL_INTERVAL),
                Err(ExportError::ShuttingDown) => return,
                Err(ExportError::Retryable(error)) => {
                    if !std::mem::replace(&mut failure_logged, true) {
                        warn!(self.log, "export failed, retrying"; "error" => error.to_string());
                    }
                    self.link.wait(backoff);
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    fn step(&mut self) -> Result<ExportStep, ExportError> {
        self.requests.execute_all(&self.disk, &mut self.link)?;
        let first_needed = self.exporter.first_needed(self.link.latest_close());
        self.retention.release_old_lines(&self.disk, first_needed, &self.link)?;
        self.exporter.step(&self.disk, &mut self.link)
    }
}

fn create_requests_folder(directory: &str) -> Result<PathBuf, WorkerStartError> {
    let path = Path::new(directory).join(REQUESTS_FOLDER);
    match std::fs::create_dir_all(&path) {
        Ok(()) => Ok(path),
        Err(source) => Err(WorkerStartError::RequestsFolder { path, source }),
    }
}
