//! The ledger's start and end in the process. It must never let serving begin before the ledger is open, nor end before it
//! is closed.

use crate::config::Config;
use crate::operator::LedgerConfig;
use crate::server::messages::DispatcherMessage;
use crate::server::supervisor::{Panic, TaskFailure};
use crate::server::timer_wheel::Clock;
use crate::server::usage::billing::{Billing, FromLedger, Store};
use crate::server::usage::digest_exchange::Shared as Witness;
use crate::server::usage::export_worker::Clerk;
use async_executor::LocalExecutor;
use slog::{Logger, info, warn};

/// Messages of the ledger's threads that wait for the core.
const FROM_THREADS: usize = 1024;

/// Opens the ledger, which waits for the disk, and starts its threads. Nothing is served before: an answer that can't be
/// billed may not be given.
pub fn open(
    settings: &LedgerConfig,
    config: &Config,
    clock: Clock,
    core: async_channel::Sender<DispatcherMessage>,
    executor: &LocalExecutor<'static>,
    log: &Logger,
    failures: async_channel::Sender<TaskFailure>,
) -> Result<Billing, String> {
    let now_ms = clock.now() as u64;
    let store = Store::open(settings, &config.name, now_ms, log)?;
    let opened = store.opened.clone();
    let (from_threads, heard) = async_channel::bounded(FROM_THREADS);
    let progress = from_threads.clone();
    let mut billing = Billing::start(
        store,
        settings,
        &config.classes,
        config.bounds.ledger_cells,
        now_ms,
        // This thread may wait for the core; the core never waits for it.
        move |told| drop(progress.send_blocking(FromLedger::Progress(told))),
        log.clone(),
    )?;
    let forwarding = async move {
        while let Ok(from) = heard.recv().await {
            if core.send(DispatcherMessage::Usage(Box::new(from))).await.is_err() {
                return;
            }
        }
    };
    executor.spawn(forwarding).detach();
    let (tell, inbox) = std::sync::mpsc::channel();
    billing.clerk_is(tell);
    let witness = match &settings.peers {
        Some(peers) => {
            let shared =
                Witness::new(&config.name, billing.ledger_id(), opened.state.last_batch, log.clone());
            shared.start(peers)?;
            Some(shared)
        }
        None => None,
    };
    let clerk = Clerk {
        ledger_id: billing.ledger_id(),
        witness,
        server: config.name.clone(),
        directory: settings.directory.clone(),
        to: settings.export.clone(),
        batch_lines: settings.batch_lines,
        keep_ms: settings.keep_ms,
        cells: config.bounds.ledger_cells,
        opened,
        inbox,
        core: from_threads,
        log: log.clone(),
    };
    // It is left to itself at the end: a collector that does not answer must not hold that up, and what is under way goes
    // out at the next start.
    // It says itself what it can't go on for, and serving goes on then; a panic is a fault of ours.
    let clerk = move || {
        if let Err(panic) = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| clerk.run())) {
            let _ =
                failures.send_blocking(TaskFailure::new("export worker", Err(Panic::from_payload(&*panic))));
        }
    };
    let spawned = std::thread::Builder::new().name("clerk".to_owned()).spawn(clerk);
    spawned.map_err(|e| format!("ledger: {e}"))?;
    Ok(billing)
}

/// Writes what waits and closes the store in good order. All is answered by now, so this may wait for the disk.
pub async fn close(core: &async_channel::Sender<DispatcherMessage>, log: &Logger) {
    let (to, writer) = async_channel::bounded(1);
    if core.send(DispatcherMessage::CloseUsage(to)).await.is_err() {
        return;
    }
    if let Ok(writer) = writer.recv().await {
        match writer.close() {
            Ok(()) => info!(log, "ledger is closed"),
            Err(e) => warn!(log, "ledger could not be closed in good order"; "why" => e.to_string()),
        }
    }
}
