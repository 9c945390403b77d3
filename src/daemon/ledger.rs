//! Start and shutdown of the usage ledger in the process.
//!
//! Serving begins only after the ledger is open, and the process ends only after it is closed.

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

/// Messages of the ledger's threads that wait for the dispatcher at most.
const MAX_WAITING_MESSAGES: usize = 1024;

/// The names of the ledger's threads in their failures.
const STORE_THREAD: &str = "store";
const EXPORT_WORKER_THREAD: &str = "export worker";

/// What the ledger needs of the process.
pub struct LedgerStart<'a> {
    /// The block `ledger` of the operator file.
    pub ledger_config: &'a LedgerConfig,
    /// The platform's configuration.
    pub config: &'a Config,
    /// The clock.
    pub clock: Clock,
    /// The dispatcher's mailbox.
    pub dispatcher: DispatcherSender,
    /// Where the failure of a thread is reported.
    pub failures: Sender<TaskFailure>,
    /// The log.
    pub log: &'a Logger,
}

impl LedgerStart<'_> {
    /// Opens the ledger, which waits for the disk, and starts its threads. Nothing is served before: a reply that can't
    /// be billed may not be sent.
    ///
    /// # Errors
    /// If the store can't be opened, a thread can't be started, or the peers' address can't be listened on.
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
        // The store's thread may wait for the dispatcher; the dispatcher never waits for it.
        let on_progress = move |event| {
            // A new ledger's first line is its own; the next ones bill requests.
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

    /// Starts the export worker, and the digest exchange where peers are configured.
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
/// It is not waited for at the end: a collector that does not answer must not hold that up, and what is under way is
/// exported at the next start. The worker logs itself what it can't go on for, and serving goes on then; a panic ends
/// the program.
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

/// Returns what reports the panic of a thread, which ends the process.
fn report_panic(
    thread: &'static str,
    failures: Sender<TaskFailure>,
) -> impl FnOnce(PanicPayload) + Send + 'static {
    move |payload| {
        let failure = TaskFailure::new(thread, Err(Panic::from_payload(&*payload)));
        // Without a receiver the process is at its end.
        let _ = failures.send_blocking(failure);
    }
}

/// Passes the messages of the ledger's threads on to the dispatcher.
async fn forward_messages(from_threads: Receiver<UsageMessage>, dispatcher: DispatcherSender) {
    while let Ok(message) = from_threads.recv().await {
        if dispatcher.send(DispatcherMessage::Usage(Box::new(message))).await.is_err() {
            return;
        }
    }
}

/// Writes what waits and closes the store cleanly. All replies are sent by now, so this may wait for the disk.
pub async fn close(dispatcher: &DispatcherSender, log: &Logger) {
    let log = component_log(log);
    let (to_closer, closer) = async_channel::bounded(1);
    if dispatcher.send(DispatcherMessage::CloseUsage(to_closer)).await.is_err() {
        return;
    }
    if let Ok(writer) = closer.recv().await {
        match writer.close() {
            Ok(()) => info!(log, "ledger closed"),
            Err(error) => warn!(log, "ledger not closed cleanly"; "error" => error.to_string()),
        }
    }
}

fn component_log(log: &Logger) -> Logger {
    log.new(o!("component" => "ledger"))
}
