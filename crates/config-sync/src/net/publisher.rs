//! The running publisher: its store, its listener, and a handle through which changes are proposed.

use super::node::NodeStatus;
use super::proposal::{Pending, ProposeFailure};
use super::publisher_driver::{Command, PublisherDriver, run};
use super::publisher_store::{self, StoreFault};
use super::settings::frame_key;
use crate::fanout::FanoutSettings;
use crate::message::{Refusal, ZoneProgress};
use crate::net::clock::unix_ms;
use crate::publisher::{ProposeError, PublisherSettings, RestoreError};
use crate::resource::{Change, Position};
use async_channel::{Sender, TrySendError, bounded};
use async_io::Async;
use dunlinspread_store::{Disk, RealDisk, StoreError};
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Maximum number of commands queued for the publisher's thread.
const MAX_COMMANDS: usize = 1024;

/// Settings of a publisher.
#[derive(Clone, Debug)]
pub struct PublisherNodeSettings {
    /// Name of the publisher. A store that belongs to another name is refused.
    pub name: String,
    /// Address on which the publisher listens; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Fleet key that authenticates frames by their tags, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Classes that routes may refer to although no class limit is published for them.
    pub known_classes: Vec<Arc<str>>,
    /// Epoch to begin if it is higher than the store's, for a store that was restored from a backup. A new
    /// store otherwise begins with the wall-clock time in seconds.
    pub begin_epoch: Option<u64>,
    /// Number of appended transactions after which a snapshot replaces the log.
    pub snapshot_every: u64,
    /// Seed of the random jitter.
    pub seed: u64,
}

impl PublisherNodeSettings {
    /// Creates settings with the default values.
    pub fn new(name: &str, listen: SocketAddr, fleet_key: &[u8]) -> PublisherNodeSettings {
        PublisherNodeSettings {
            name: name.to_owned(),
            listen,
            fleet_key: fleet_key.to_vec(),
            known_classes: Vec::new(),
            begin_epoch: None,
            snapshot_every: 4096,
            seed: 0,
        }
    }

    fn publisher_settings(&self) -> PublisherSettings {
        PublisherSettings {
            known_classes: self.known_classes.iter().cloned().collect(),
            fanout: FanoutSettings { seed: self.seed, ..FanoutSettings::default() },
            ..PublisherSettings::default()
        }
    }
}

/// Reason why a publisher can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The store can't be read or written.
    #[error("the publisher's store: {0}")]
    Store(#[from] StoreError),
    /// The stored data is inconsistent.
    #[error("the publisher's store: {0}")]
    Restore(#[from] RestoreError),
    /// The settings are invalid, or the address or the thread is not available.
    #[error("publisher: {operation}: {source}")]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// Error of the operation.
        source: io::Error,
    },
}

impl From<StoreFault> for OpenError {
    fn from(fault: StoreFault) -> OpenError {
        match fault {
            StoreFault::Store(error) => OpenError::Store(error),
            StoreFault::Restore(error) => OpenError::Restore(error),
        }
    }
}

fn io_error(operation: &'static str) -> impl Fn(io::Error) -> OpenError {
    move |source| OpenError::Io { operation, source }
}

/// A running publisher. Dropping it stops its threads. All durable changes are present when it is opened
/// again.
pub struct PublisherNode {
    address: SocketAddr,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl PublisherNode {
    /// Opens the store in `directory`, or creates it if there is none, and starts to listen.
    ///
    /// # Errors
    /// Returns [`OpenError::Store`] or [`OpenError::Restore`] if the store can't be opened, and
    /// [`OpenError::Io`] if the settings are invalid or the directory, the socket or the thread can't be
    /// created.
    pub fn open(
        settings: PublisherNodeSettings,
        directory: &Path,
        log: Logger,
    ) -> Result<PublisherNode, OpenError> {
        std::fs::create_dir_all(directory).map_err(io_error("creating the store's directory"))?;
        let disk = RealDisk::new(directory)?;
        PublisherNode::open_on(settings, Arc::new(disk), log)
    }

    /// Opens the store on `disk` and starts to listen.
    ///
    /// # Errors
    /// Fails like [`PublisherNode::open`].
    pub fn open_on(
        settings: PublisherNodeSettings,
        disk: Arc<dyn Disk>,
        log: Logger,
    ) -> Result<PublisherNode, OpenError> {
        let key = frame_key(&settings.fleet_key).map_err(io_error("settings"))?;
        let new_epoch = unix_ms() / 1000;
        let publisher_settings = settings.publisher_settings();
        let opened =
            publisher_store::open(disk, &settings.name, publisher_settings, new_epoch, settings.begin_epoch)?;
        let listener = dunlinspread_sockets::listen(settings.listen)
            .and_then(Async::new)
            .map_err(io_error("listening on its address"))?;
        let address = listener.get_ref().local_addr().map_err(io_error("reading its address"))?;
        let (commands, inbox) = bounded(MAX_COMMANDS);
        let (reports, progress) = async_channel::unbounded();
        let thread = std::thread::Builder::new()
            .name("publisher".to_owned())
            .spawn(move || {
                match PublisherDriver::new(opened, settings.snapshot_every, key.clone(), reports, log.clone())
                {
                    Ok(driver) => run(driver, &listener, &key, &inbox, &progress, &log),
                    Err(error) => slog::error!(log, "store writer thread not started";
                        "component" => "config_sync", "error" => %error),
                }
            })
            .map_err(io_error("starting its thread"))?;
        Ok(PublisherNode { address, commands, thread: Some(thread) })
    }

    /// Returns the address on which the publisher listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Proposes changes without waiting until they are durable. Never blocks.
    pub fn submit(&self, changes: Vec<Change>) -> Pending {
        let (reply, answer) = bounded(1);
        let refused = match self.commands.try_send(Command::Propose { changes, reply: reply.clone() }) {
            Ok(()) => None,
            Err(TrySendError::Full(_)) => Some(ProposeError::TooManyUnderWay(MAX_COMMANDS).into()),
            Err(TrySendError::Closed(_)) => Some(ProposeFailure::Ended),
        };
        if let Some(refused) = refused {
            // The result channel has capacity for one result, so this can't fail.
            let _ = reply.try_send(Err(refused));
        }
        Pending::new(answer)
    }

    /// Proposes changes and waits until they are durable.
    ///
    /// # Errors
    /// Returns a [`ProposeFailure`] if the changes are not published.
    pub fn propose(&self, changes: Vec<Change>) -> Result<Position, ProposeFailure> {
        self.submit(changes).wait()
    }

    /// Returns the newest durable position.
    pub fn head(&self) -> Position {
        self.status().head
    }

    /// Returns the progress of each zone: the lowest position in force there.
    pub fn progress(&self) -> Vec<ZoneProgress> {
        self.status().zones
    }

    /// Returns the publisher's status; all fields have their defaults once the publisher has stopped.
    pub fn status(&self) -> NodeStatus {
        self.query(Command::Status)
    }

    /// Returns the refusals reported since the last call. Their number is bounded; refusals past the bound
    /// are only counted.
    pub fn take_refusals(&self) -> Vec<Refusal> {
        self.query(Command::TakeRefusals)
    }

    fn query<T: Default>(&self, command: impl FnOnce(Sender<T>) -> Command) -> T {
        let (reply, answer) = bounded(1);
        let sent = self.commands.send_blocking(command(reply)).is_ok();
        if sent { answer.recv_blocking().unwrap_or_default() } else { T::default() }
    }
}

impl Drop for PublisherNode {
    fn drop(&mut self) {
        self.commands.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
