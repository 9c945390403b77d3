//! What a round server uses: a subscriber on a thread of its own, which hands over each change that comes in force.

use crate::net::{SubscriberHandle, SubscriberStatus, SubscriberTask, update_queue};
use crate::resource::Position;
use async_channel::Sender;
use async_io::block_on;
use futures_lite::future::or;
use slog::{Logger, info};
use std::io;
use std::thread::JoinHandle;

pub use crate::judge::{Judge, Rejection};
pub use crate::net::ClientSettings;
pub use crate::server::Server;
pub use crate::update::Update;

/// A subscriber on a thread of its own. Dropping it ends the thread; what was to be kept on disk is written first.
pub struct Client {
    handle: Option<SubscriberHandle>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts the thread. The first update is the state on disk, if there is one; it is in the channel before this
    /// returns, if there is room. A state on disk that can't be used is an error in the log, not here: the client begins
    /// with nothing.
    ///
    /// The channel may be bounded: while it is full, updates wait, and past a bound they are merged into one. When its
    /// receiver is gone the thread ends.
    ///
    /// # Errors
    /// If the settings are not right or there can be no thread.
    pub fn start(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        updates: Sender<Update>,
        log: Logger,
    ) -> io::Result<Client> {
        let (waiting, mut forwarder) = update_queue(updates);
        let (task, handle) = SubscriberTask::new(settings, judge, Box::new(waiting), None, log.clone())?;
        forwarder.forward_what_fits();
        let run = move || {
            let forward = async {
                forwarder.run().await;
                info!(log, "update receiver closed, changes are no longer applied";
                    "component" => "config_sync");
            };
            block_on(or(task.run(), forward));
        };
        let thread = std::thread::Builder::new().name("config-sync".to_owned()).spawn(run)?;
        Ok(Client { handle: Some(handle), thread: Some(thread) })
    }

    /// The update that leads to that position, and all before it, are in force. Never blocks.
    pub fn applied(&self, position: Position) {
        if let Some(handle) = &self.handle {
            handle.applied(position);
        }
    }

    /// How long ago it last knew that it had all there is, by what its servers say of their own age, ms; none before the
    /// first time in this run.
    pub fn age_ms(&self) -> Option<u64> {
        self.handle.as_ref().and_then(SubscriberHandle::age_ms)
    }

    /// What it is at.
    pub fn status(&self) -> SubscriberStatus {
        self.handle.as_ref().map(SubscriberHandle::status).unwrap_or_default()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.handle = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
