//! Clients in a separate thread, which send an open-loop load and health checks.

use crate::upgrade_support::attempts::AttemptSender;
use crate::upgrade_support::health::check_health;
use crate::upgrade_support::load::{LoadPlan, LoadSettings};
use crate::upgrade_support::records::{Outcome, Records};
use crate::upgrade_support::settings::platform;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use dunlinspread_fakes::RequestEnds;
use futures_lite::future::or;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

/// Running clients.
pub struct Clients {
    records: Arc<Mutex<Records>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Clients {
    /// Starts clients that send until [`Clients::finish`].
    /// The end of each request is reported to the machine's worker pools.
    pub fn start(address: SocketAddr, request_ends: RequestEnds, settings: LoadSettings) -> Clients {
        let records = Arc::new(Mutex::new(Records::default()));
        let (stop, stopped) = async_channel::bounded(1);
        let shared = records.clone();
        let thread = std::thread::Builder::new().name("clients".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let connections = settings.shared_connections;
            let sender =
                AttemptSender::new(address, connections, executor.clone(), shared.clone(), request_ends);
            let sender = Rc::new(sender);
            let health = sender.clone();
            executor.spawn(async move { check_health(health, &shared).await }).detach();
            let plan = LoadPlan::new(platform(), settings);
            async_io::block_on(executor.run(send_until(stopped, plan, sender, executor.clone())));
        });
        Clients { records, stop: Some(stop), thread: Some(thread.expect("a thread")) }
    }

    /// Returns the number of attempts with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.lock().count(outcome)
    }

    /// Returns a copy of the records so far.
    pub fn snapshot(&self) -> Records {
        self.lock().clone()
    }

    /// Returns the number of attempts that have not ended.
    pub fn open(&self) -> u64 {
        self.lock().open
    }

    /// Sends no further request, waits for the ends of all attempts, and returns the records.
    pub fn finish(mut self) -> Records {
        self.stop.take();
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(matches!(ended, Some(Ok(()))), "the clients' thread panicked");
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts requests at their times until `stopped` is closed, and waits until all attempts have ended.
async fn send_until(
    stopped: Receiver<()>,
    mut plan: LoadPlan,
    sender: Rc<AttemptSender>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let (unfinished, all_finished) = async_channel::unbounded::<()>();
    let mut due = Instant::now();
    loop {
        due += plan.draw_interval();
        let wait = async {
            Timer::at(due).await;
            true
        };
        let stop = async {
            // The channel carries no message: an error means that the sender was dropped.
            let _ = stopped.recv().await;
            false
        };
        if !or(stop, wait).await {
            break;
        }
        let (request, attempts) = plan.draw_request();
        for attempt in attempts {
            let (sender, request, unfinished) = (sender.clone(), request.clone(), unfinished.clone());
            let sending = async move {
                Timer::after(attempt.delay).await;
                sender.attempt(&request, &attempt).await;
                drop(unfinished);
            };
            executor.spawn(sending).detach();
        }
    }
    drop(unfinished);
    // The channel carries no message: it closes when the last attempt has ended.
    let _: Result<(), _> = all_finished.recv().await;
}
