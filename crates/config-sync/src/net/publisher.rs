//! The publisher as a process: its store, its listener, and a handle through which changes are proposed.

use crate::message::{Refusal, ZoneProgress};
use crate::resource::{Change, Position};
use dunlinspread_store::StoreError;
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

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
}

/// Why a publisher can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The store can't be read or written.
    #[error("the publisher's store: {0}")]
    Store(#[from] StoreError),
    /// The address can't be listened on, or there can be no thread.
    #[error("publisher: {what}: {source}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// What came of it.
        source: io::Error,
    },
}

/// Why a proposal is not published.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeFailure {
    /// The publisher refused it; nothing was written or told.
    #[error("{0}")]
    Refused(String),
    /// It could not be made durable: it may or may not be there after a restart, and nobody was told.
    #[error("the store failed: {0}")]
    NotDurable(String),
    /// The publisher has ended.
    #[error("the publisher has ended")]
    Ended,
}

/// A proposal under way.
pub struct Pending {
    answer: async_channel::Receiver<Result<Position, ProposeFailure>>,
}

impl Pending {
    /// Waits until it is durable (and so on its way to all), or failed.
    ///
    /// # Errors
    /// Why it is not published.
    pub fn wait(self) -> Result<Position, ProposeFailure> {
        self.answer.recv_blocking().unwrap_or(Err(ProposeFailure::Ended))
    }

    /// The same for a task.
    ///
    /// # Errors
    /// Why it is not published.
    pub async fn done(self) -> Result<Position, ProposeFailure> {
        self.answer.recv().await.unwrap_or(Err(ProposeFailure::Ended))
    }
}

/// A running publisher. Dropping it ends its threads; all that was proposed and durable is there when it is opened again.
pub struct PublisherNode {
    address: SocketAddr,
}

impl PublisherNode {
    /// Opens the store in `directory`, a new one if nothing is there, and listens.
    ///
    /// # Errors
    /// Of the store, the socket and the thread.
    pub fn open(
        _settings: PublisherNodeSettings,
        _directory: &Path,
        _log: Logger,
    ) -> Result<PublisherNode, OpenError> {
        todo!("the node is written in the next commits")
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Proposes changes without waiting for the store.
    pub fn submit(&self, _changes: Vec<Change>) -> Pending {
        todo!("the node is written in the next commits")
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
        todo!("the node is written in the next commits")
    }

    /// How far each zone has come.
    pub fn progress(&self) -> Vec<ZoneProgress> {
        todo!("the node is written in the next commits")
    }

    /// The refusals reported since the last call; the oldest are dropped past a bound.
    pub fn take_refusals(&self) -> Vec<Refusal> {
        todo!("the node is written in the next commits")
    }
}
