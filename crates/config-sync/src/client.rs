//! What a round server uses: a subscriber on a thread of its own, which hands over each change that comes in force.

use crate::message::Member;
use crate::net::{SubscriberHandle, SubscriberStatus, SubscriberTask, update_queue};
use crate::resource::{Change, Position};
use async_channel::Sender;
use async_io::block_on;
use futures_lite::future::or;
use slog::{Logger, info};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;

/// A relay or publisher that can be watched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Server {
    /// Its name, by which clients rank it.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone; a region's relay serves the whole region and has none.
    pub zone: Option<Arc<str>>,
    /// Its region.
    pub region: Arc<str>,
}

/// How a subscriber is set up.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Who it is; [`crate::message::Role::Subscriber`].
    pub member: Member,
    /// Whom it may watch: its zone's first, then its region's, then any.
    pub servers: Vec<Server>,
    /// The fleet's key for the tags of frames, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Where the last good state is kept; without one, a restart begins with nothing.
    pub state_directory: Option<PathBuf>,
    /// Seed of the jitter.
    pub seed: u64,
}

/// Changes that come in force together, to be applied in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// What the server's settings are at once they are applied.
    pub position: Position,
    /// The changes, each key at most once; more than a transaction's where a snapshot or the state on disk is applied.
    pub changes: Vec<Change>,
    /// When the last transaction in it was accepted by the publisher, Unix ms.
    pub published_unix_ms: u64,
}

/// Says whether a round server can put changes in force.
pub trait Judge: Send {
    /// Nothing, or why these changes can't come in force together; the old settings stay then.
    ///
    /// # Errors
    /// The reason, for the operators.
    fn judge(&self, changes: &[Change]) -> Result<(), String>;
}

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
                info!(log, "config: nobody takes updates any more, no change comes in force");
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
