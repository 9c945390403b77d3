//! The faults that the model has to find: the real machines are told something else than they should be.

use super::world::{RELAY, World};
use dunlinspread_config_sync::message::{ToClient, ToServer};
use dunlinspread_config_sync::resource::{Digest, Position};

/// What is altered between the real machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The publisher hears that a change is durable as soon as it is given to the disk.
    ToldBeforeDurable,
    /// Subscribers ask as if they had nothing, and every snapshot reads as if it were no older than what they have, so
    /// that none is refused as older.
    SnapshotOverNewerDelta,
}

impl World {
    pub(super) fn altered_up(&self, client: usize, message: ToServer) -> ToServer {
        match message {
            ToServer::Watch { member, .. } if self.blinds(client) => {
                ToServer::Watch { member, position: Position::default(), digest: Digest::default() }
            }
            message => message,
        }
    }

    pub(super) fn altered_down(&self, client: usize, message: ToClient) -> ToClient {
        let own = self.clients[client].follower().position();
        match message {
            ToClient::Resync { head } if self.blinds(client) => ToClient::Resync { head: head.max(own) },
            ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms } if self.blinds(client) => {
                let position = position.max(own);
                ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms }
            }
            message => message,
        }
    }

    fn blinds(&self, client: usize) -> bool {
        self.fault == Fault::SnapshotOverNewerDelta && client != RELAY
    }
}
