//! A relay as a process: it follows a server and serves others.

use crate::client::Server;
use crate::message::{Member, ZoneProgress};
use crate::resource::Position;
use slog::Logger;
use std::io;
use std::net::SocketAddr;

/// How a relay is set up.
#[derive(Clone, Debug)]
pub struct RelayNodeSettings {
    /// Who it is; [`crate::message::Role::Relay`].
    pub member: Member,
    /// Where it listens; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Whom it may watch, in any order: the publisher for a region's relay, its region's relays for a zone's.
    pub servers: Vec<Server>,
    /// The fleet's key for the tags of frames, 16 to 1,024 bytes.
    pub fleet_key: Vec<u8>,
    /// Seed of the jitter.
    pub seed: u64,
}

/// A running relay. Dropping it ends its thread. It keeps nothing on disk.
pub struct RelayNode {
    address: SocketAddr,
}

impl RelayNode {
    /// Listens and follows, on a thread of its own.
    ///
    /// # Errors
    /// If the settings are not right, the address can't be listened on or there can be no thread.
    pub fn start(_settings: RelayNodeSettings, _log: Logger) -> io::Result<RelayNode> {
        todo!("the node is written in the next commits")
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it serves.
    pub fn head(&self) -> Position {
        todo!("the node is written in the next commits")
    }

    /// How far the zones below it have come.
    pub fn progress(&self) -> Vec<ZoneProgress> {
        todo!("the node is written in the next commits")
    }
}
