//! The configuration client of a round server: a subscriber on its own thread that delivers each accepted
//! update.

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

/// A subscriber on its own thread. Dropping it ends the thread after the pending records are written to disk.
pub struct Client {
    handle: Option<SubscriberHandle>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts the thread. The first update is the state on disk, if there is one; it is in the channel before
    /// this function returns, if the channel has room. An unusable state on disk is logged and not returned
    /// as an error: the client then starts with an empty table.
    ///
    /// The channel may be bounded: while it is full, updates are queued, and past a limit the queued updates
    /// are merged into one. The thread ends when the receiver is dropped.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid or the thread can't be started.
    pub fn start(
        settings: ClientSettings,
        judge: Box<dyn Judge>,
        updates: Sender<Update>,
        log: Logger,
    ) -> io::Result<Client> {
        let (queue, mut forwarder) = update_queue(updates);
        let (task, handle) = SubscriberTask::new(settings, judge, Box::new(queue), None, log.clone())?;
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

    /// Confirms that the update that leads to `position`, and all earlier ones, are in force. Never blocks.
    pub fn applied(&self, position: Position) {
        if let Some(handle) = &self.handle {
            handle.applied(position);
        }
    }

    /// Returns how long ago the client was last known to be at the publisher's head, according to the ages
    /// that its servers report, ms; `None` if that has not happened since the client started.
    pub fn age_ms(&self) -> Option<u64> {
        self.handle.as_ref().and_then(SubscriberHandle::age_ms)
    }

    /// Returns the client's status.
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
