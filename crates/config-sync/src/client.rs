//! What a round server uses: a subscriber on a thread of its own, which hands over each change that comes in force.

use crate::message::Member;
use crate::resource::{Change, Position};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

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

/// A subscriber on a thread of its own. Dropping it ends the thread.
pub struct Client {
    _private: (),
}

impl Client {
    /// Starts the thread. The first update is the state on disk, if there is one; it is there before this returns, if
    /// the channel has room. A state on disk that can't be read is an error in the log, not here: it begins with nothing.
    ///
    /// The channel may be bounded: a full one delays updates, which are then merged into one.
    ///
    /// # Errors
    /// If the settings are not right or there can be no thread.
    pub fn start(
        _settings: ClientSettings,
        _judge: Box<dyn Judge>,
        _updates: async_channel::Sender<Update>,
        _log: slog::Logger,
    ) -> std::io::Result<Client> {
        todo!("the client is written in the next commits")
    }

    /// The update that leads to that position is in force. Never blocks.
    pub fn applied(&self, _position: Position) {
        todo!("the client is written in the next commits")
    }

    /// How long ago it last knew that it had all there is, ms; none before the first time in this run.
    pub fn age_ms(&self) -> Option<u64> {
        todo!("the client is written in the next commits")
    }
}
