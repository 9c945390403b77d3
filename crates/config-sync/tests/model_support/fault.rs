//! Faults that the model must detect, injected between the real state machines.

use super::world::{RELAY, World};
use dunlinspread_config_sync::message::{ToClient, ToServer};
use dunlinspread_config_sync::resource::{Digest, Position};

/// A fault injected between the real state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A change is reported to the publisher as durable as soon as it is given to the disk.
    ReportedBeforeDurable,
    /// Subscribers watch as if their tables were empty, and every snapshot claims a position no older than
    /// theirs, so that none is refused as older.
    SnapshotOverNewerDelta,
}

impl World {
    pub(super) fn altered_to_server(&self, client: usize, message: ToServer) -> ToServer {
        match message {
            ToServer::Watch { member, .. } if self.alters(client) => {
                ToServer::Watch { member, position: Position::default(), digest: Digest::default() }
            }
            message => message,
        }
    }

    pub(super) fn altered_to_client(&self, client: usize, message: ToClient) -> ToClient {
        let own = self.clients[client].follower().position();
        match message {
            ToClient::Resync { head } if self.alters(client) => ToClient::Resync { head: head.max(own) },
            ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms } if self.alters(client) => {
                let position = position.max(own);
                ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms }
            }
            message => message,
        }
    }

    fn alters(&self, client: usize) -> bool {
        self.fault == Fault::SnapshotOverNewerDelta && client != RELAY
    }
}
