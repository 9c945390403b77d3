//! Export worker, which runs on a separate thread: exports closed periods, executes operator requests and
//! releases old lines. It never delays serving.

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

/// Backoff after the first failed attempt. It doubles with each further failure, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after a failed attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Interval at which the worker checks for operator requests.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Options of an [`ExportWorker`].
pub struct ExportWorkerOptions {
    /// Name of the server.
    pub server: String,
    /// Directory of the ledger's store.
    pub directory: String,
    /// Target to which batches are exported; export is disabled without one.
    pub target: Option<ExportTarget>,
    /// Maximum number of items in a batch.
    pub batch_lines: usize,
    /// Time that lines are kept, in ms.
    pub keep_ms: u64,
    /// Approximate maximum number of totals that are held in memory at a time.
    pub max_totals: usize,
    /// Id of the ledger.
    pub ledger_id: u64,
    /// State of the ledger when it was opened.
    pub opened: OpenedLedger,
    /// Digest exchange with other servers, if peers are configured.
    pub digest_exchange: Option<DigestExchange>,
    /// Receiver of messages to the worker.
    pub messages: Receiver<ExportWorkerMessage>,
    /// Sender of messages to the dispatcher.
    pub dispatcher: async_channel::Sender<UsageMessage>,
    /// Log of the worker.
    pub log: Logger,
}

/// Export worker of one ledger.
pub struct ExportWorker {
    disk: RealDisk,
    link: DispatcherLink,
    requests: OperatorRequests,
    retention: Retention,
    exporter: BatchExporter,
    log: Logger,
}

impl ExportWorker {
    /// Runs until the process shuts down. If the worker can't start, the error is logged, and serving
    /// continues without it.
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
            max_totals: options.max_totals,
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
