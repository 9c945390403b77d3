//! Start and shutdown of the usage ledger in the process.
//!
//! Serving starts only after the ledger is open, and the process exits only after it is closed.

use crate::config::Config;
use crate::operator::LedgerConfig;
use crate::server::fault_injection::{self, PanicPoint};
use crate::server::messages::{DispatcherMessage, DispatcherSender, ExportWorkerMessage, UsageMessage};
use crate::server::supervisor::{Panic, TaskFailure};
use crate::server::timer_wheel::Clock;
use crate::server::usage::{
    Billing, BillingOptions, DigestExchange, ExportWorker, ExportWorkerOptions, OpenedLedger, UsageError,
    UsageStore,
};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use dunlinspread_store::{PanicPayload, Progress};
use slog::{Logger, info, o, warn};
use std::panic::AssertUnwindSafe;

/// Maximum number of messages from the ledger's threads that are queued for the dispatcher.
const MAX_WAITING_MESSAGES: usize = 1024;

/// Names of the ledger's threads in [`TaskFailure`]s.
const STORE_THREAD: &str = "store";
const EXPORT_WORKER_THREAD: &str = "export worker";

/// Settings and handles with which the ledger is opened.
pub struct LedgerStart<'a> {
    /// The block `ledger` of the operator file.
    pub ledger_config: &'a LedgerConfig,
    /// The platform's configuration.
    pub config: &'a Config,
    /// The clock.
    pub clock: Clock,
    /// Sender of the dispatcher's mailbox.
    pub dispatcher: DispatcherSender,
    /// Channel on which the failure of a thread is reported.
    pub failures: Sender<TaskFailure>,
    /// The logger.
    pub log: &'a Logger,
}

impl LedgerStart<'_> {
    /// Opens the ledger, which waits for the disk, and starts its threads. No request is served before that,
    /// because a reply that can't be billed must not be sent.
    ///
    /// # Errors
    /// Returns a [`UsageError`] if the store can't be opened, a thread can't be started, or listening on the
    /// address for peers fails.
    pub fn open(self, executor: &LocalExecutor<'static>) -> Result<Billing, UsageError> {
        let log = component_log(self.log);
        let now_ms = self.clock.now() as u64;
        let store = UsageStore::open(self.ledger_config, &self.config.name, now_ms, &log)?;
        let opened = store.opened.clone();
        let (to_dispatcher, from_threads) = async_channel::bounded(MAX_WAITING_MESSAGES);
        let progress = to_dispatcher.clone();
        let options = BillingOptions {
            config: self.ledger_config,
            classes: &self.config.classes,
            max_aggregates: self.config.limits.ledger_aggregates,
            now_ms,
        };
        // The store's thread may block on the dispatcher; the dispatcher never waits for the store's thread.
        let on_progress = move |event| {
            // The first line of a new ledger is its own; the following lines bill requests.
            if matches!(&event, Progress::Durable { through, .. } if *through > 1) {
                fault_injection::maybe_panic(PanicPoint::StoreProgress);
            }
            drop(progress.send_blocking(UsageMessage::StoreProgress(event)));
        };
        let on_panic = report_panic(STORE_THREAD, self.failures.clone());
        let mut billing = Billing::start(store, &options, on_progress, on_panic, log.clone())?;
        executor.spawn(forward_messages(from_threads, self.dispatcher.clone())).detach();
        let (to_worker, messages) = std::sync::mpsc::channel();
        billing.set_export_worker(to_worker);
        self.start_export_worker(billing.ledger_id(), opened, messages, to_dispatcher, log)?;
        Ok(billing)
    }

    /// Starts the export worker, and the digest exchange if peers are configured.
    fn start_export_worker(
        self,
        ledger_id: u64,
        opened: OpenedLedger,
        messages: std::sync::mpsc::Receiver<ExportWorkerMessage>,
        dispatcher: Sender<UsageMessage>,
        log: Logger,
    ) -> Result<(), UsageError> {
        let server = self.config.name.clone();
        let digest_exchange = match &self.ledger_config.peers {
            Some(peers) => {
                let last_own_batch = opened.state.last_batch;
                let exchange = DigestExchange::new(&server, ledger_id, last_own_batch, log.clone());
                exchange.start(peers)?;
                Some(exchange)
            }
            None => None,
        };
        let options = ExportWorkerOptions {
            server,
            directory: self.ledger_config.directory.clone(),
            target: self.ledger_config.export.clone(),
            batch_lines: self.ledger_config.batch_lines,
            keep_ms: self.ledger_config.keep_ms,
            max_totals: self.config.limits.ledger_aggregates,
            ledger_id,
            opened,
            digest_exchange,
            messages,
            dispatcher,
            log,
        };
        spawn_export_worker(options, self.failures)
    }
}

/// Starts the export worker's thread.
///
/// The shutdown does not wait for this thread: an unresponsive collector must not delay it, and an unfinished
/// export is resumed at the next start. The worker logs an error that stops its exports, and serving
/// continues; a panic ends the process.
fn spawn_export_worker(
    options: ExportWorkerOptions,
    failures: Sender<TaskFailure>,
) -> Result<(), UsageError> {
    let on_panic = report_panic(EXPORT_WORKER_THREAD, failures);
    let work = move || {
        let run = AssertUnwindSafe(|| ExportWorker::run(options));
        std::panic::catch_unwind(run).unwrap_or_else(on_panic);
    };
    let spawned = std::thread::Builder::new().name("export-worker".to_owned()).spawn(work);
    spawned.map(drop).map_err(UsageError::Thread)
}

/// Returns a function that reports a panic of the thread, which ends the process.
fn report_panic(
    thread: &'static str,
    failures: Sender<TaskFailure>,
) -> impl FnOnce(PanicPayload) + Send + 'static {
    move |payload| {
        let failure = TaskFailure::new(thread, Err(Panic::from_payload(&*payload)));
        // If there is no receiver, the process is already exiting.
        let _ = failures.send_blocking(failure);
    }
}

/// Forwards the messages of the ledger's threads to the dispatcher.
async fn forward_messages(from_threads: Receiver<UsageMessage>, dispatcher: DispatcherSender) {
    while let Ok(message) = from_threads.recv().await {
        if dispatcher.send(DispatcherMessage::Usage(Box::new(message))).await.is_err() {
            return;
        }
    }
}

/// Writes the pending lines and closes the store cleanly. All replies have been sent by now, so this may wait
/// for the disk.
pub async fn close(dispatcher: &DispatcherSender, log: &Logger) {
    let log = component_log(log);
    let (writer_sender, writer_receiver) = async_channel::bounded(1);
    if dispatcher.send(DispatcherMessage::CloseUsage(writer_sender)).await.is_err() {
        return;
    }
    if let Ok(writer) = writer_receiver.recv().await {
        match writer.close() {
            Ok(()) => info!(log, "ledger closed"),
            Err(error) => warn!(log, "ledger not closed cleanly"; "error" => error.to_string()),
        }
    }
}

fn component_log(log: &Logger) -> Logger {
    log.new(o!("component" => "ledger"))
}
