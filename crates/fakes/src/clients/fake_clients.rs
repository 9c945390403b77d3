//! The running clients and their progress.

use crate::clients::attempts::RequestSender;
use crate::clients::connection_pool::ConnectionPool;
use crate::clients::load::{ClientBehavior, Load, RequestPlan};
use crate::clients::tally::Tally;
use crate::fake_server::{FakeServer, Tasks};
use crate::platform::PlatformSettings;
use async_channel::Receiver;
use async_io::Timer;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Progress of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of started requests.
    pub started: u64,
    /// Number of requests whose last attempt has finished.
    pub finished: u64,
}

#[derive(Default)]
struct ProgressCounters {
    started: AtomicU64,
    finished: AtomicU64,
}

/// Running fake clients.
pub struct FakeClients {
    server: FakeServer,
    progress: Arc<ProgressCounters>,
    tally: Receiver<Tally>,
}

impl FakeClients {
    /// Starts sending a load to the servers at these addresses, in round-robin order.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        platform: &PlatformSettings,
        addresses: Vec<SocketAddr>,
        load: Load,
        behavior: ClientBehavior,
    ) -> io::Result<FakeClients> {
        let progress = Arc::new(ProgressCounters::default());
        let (tally_sender, tally) = async_channel::bounded(1);
        let (platform, counters) = (platform.clone(), progress.clone());
        let server = FakeServer::start("clients", move |tasks| {
            let duplicate_answers = Rc::new(Cell::new(0));
            let pool = |address| {
                let duplicate_answers = duplicate_answers.clone();
                ConnectionPool::new(address, behavior.max_connections, duplicate_answers, tasks.clone())
            };
            let pools = addresses.into_iter().map(pool).collect();
            let sender = Rc::new(RequestSender::new(platform.clone(), behavior, pools));
            let spawner = tasks.clone();
            tasks.spawn(async move {
                let plan = RequestPlan::new(&platform, &load, behavior.max_retries);
                send_all(plan, &sender, &spawner, &counters).await;
                let tally = Tally { duplicate_answers: duplicate_answers.get(), ..sender.tally.take() };
                let _ = tally_sender.send(tally).await;
            });
        })?;
        Ok(FakeClients { server, progress, tally })
    }

    /// Returns the progress of the load.
    pub fn progress(&self) -> Progress {
        Progress {
            started: self.progress.started.load(Ordering::Relaxed),
            finished: self.progress.finished.load(Ordering::Relaxed),
        }
    }

    /// Waits until all requests are finished and returns the tally.
    pub fn finish(self) -> Tally {
        let tally = self.tally.recv_blocking().unwrap_or_default();
        drop(self.server);
        tally
    }
}

/// Starts each request at its due time and waits until all are finished.
async fn send_all(
    plan: RequestPlan<'_>,
    sender: &Rc<RequestSender>,
    tasks: &Tasks,
    progress: &Arc<ProgressCounters>,
) {
    let (unfinished, all_finished) = async_channel::unbounded::<()>();
    for request in plan {
        Timer::at(request.due).await;
        let delay_ms = request.due.elapsed().as_secs_f64() * 1000.0;
        let mut tally = sender.tally.borrow_mut();
        tally.max_send_delay_ms = tally.max_send_delay_ms.max(delay_ms);
        drop(tally);
        progress.started.fetch_add(1, Ordering::Relaxed);
        let (sender, progress, unfinished) = (sender.clone(), progress.clone(), unfinished.clone());
        tasks.spawn(async move {
            sender.send(&request).await;
            progress.finished.fetch_add(1, Ordering::Relaxed);
            drop(unfinished);
        });
    }
    drop(unfinished);
    // Nothing is ever sent on the channel: it closes when the last request is finished.
    let _: Result<(), _> = all_finished.recv().await;
}
