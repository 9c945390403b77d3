//! The publisher as a process: its store, its listener, and a handle through which changes are proposed.

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

/// Commands that wait for the publisher's thread.
const MAX_COMMANDS: usize = 1024;

/// How a publisher is set up.
#[derive(Clone, Debug)]
pub struct PublisherNodeSettings {
    /// Its name; a store of another name is refused.
    pub name: String,
    /// Where it listens; port 0 picks a free one.
    pub listen: SocketAddr,
    /// The fleet's key for the tags of frames, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Classes that routes may lead to although no class limit is published for them.
    pub known_classes: Vec<Arc<str>>,
    /// Begins this epoch if it is higher than the store's, for a store that was set back (restored from a copy). A new
    /// store begins with the time of day in seconds.
    pub begin_epoch: Option<u64>,
    /// A snapshot replaces the log once this many transactions were added to it.
    pub snapshot_every: u64,
    /// Seed of the jitter.
    pub seed: u64,
}

impl PublisherNodeSettings {
    /// The usual ones.
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

/// Why a publisher can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The store can't be read or written.
    #[error("the publisher's store: {0}")]
    Store(#[from] StoreError),
    /// What is stored does not fit together.
    #[error("the publisher's store: {0}")]
    Restore(#[from] RestoreError),
    /// The settings, the address or the thread.
    #[error("publisher: {what}: {source}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// What came of it.
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

fn io_error(what: &'static str) -> impl Fn(io::Error) -> OpenError {
    move |source| OpenError::Io { what, source }
}

/// A running publisher. Dropping it ends its threads; all that was proposed and durable is there when it is opened again.
pub struct PublisherNode {
    address: SocketAddr,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl PublisherNode {
    /// Opens the store in `directory`, a new one if nothing is there, and listens.
    ///
    /// # Errors
    /// Of the settings, the store, the socket and the thread.
    pub fn open(
        settings: PublisherNodeSettings,
        directory: &Path,
        log: Logger,
    ) -> Result<PublisherNode, OpenError> {
        std::fs::create_dir_all(directory).map_err(io_error("making the store's directory"))?;
        let disk = RealDisk::new(directory)?;
        PublisherNode::open_on(settings, Arc::new(disk), log)
    }

    /// The same on any disk.
    ///
    /// # Errors
    /// As [`PublisherNode::open`].
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Proposes changes without waiting for the store. Never blocks.
    pub fn submit(&self, changes: Vec<Change>) -> Pending {
        let (reply, answer) = bounded(1);
        let refused = match self.commands.try_send(Command::Propose { changes, reply: reply.clone() }) {
            Ok(()) => None,
            Err(TrySendError::Full(_)) => Some(ProposeError::TooManyUnderWay(MAX_COMMANDS).into()),
            Err(TrySendError::Closed(_)) => Some(ProposeFailure::Ended),
        };
        if let Some(refused) = refused {
            // The answer has room for one.
            let _ = reply.try_send(Err(refused));
        }
        Pending::new(answer)
    }

    /// Proposes changes and waits until they are durable.
    ///
    /// # Errors
    /// Why they are not published.
    pub fn propose(&self, changes: Vec<Change>) -> Result<Position, ProposeFailure> {
        self.submit(changes).wait()
    }

    /// The newest durable position.
    pub fn head(&self) -> Position {
        self.status().head
    }

    /// How far each zone has come: the least position in force.
    pub fn progress(&self) -> Vec<ZoneProgress> {
        self.status().zones
    }

    /// How it is doing; all zero once it has ended.
    pub fn status(&self) -> NodeStatus {
        self.ask(Command::Status)
    }

    /// The refusals reported since the last call. They are bounded; what found no room is only counted.
    pub fn take_refusals(&self) -> Vec<Refusal> {
        self.ask(Command::TakeRefusals)
    }

    fn ask<T: Default>(&self, command: impl FnOnce(Sender<T>) -> Command) -> T {
        let (reply, answer) = bounded(1);
        let asked = self.commands.send_blocking(command(reply)).is_ok();
        if asked { answer.recv_blocking().unwrap_or_default() } else { T::default() }
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
