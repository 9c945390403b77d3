//! Support for the tests of followers, subscribers and relays: a publisher's history, and servers to watch.
#![allow(dead_code, reason = "each test binary uses only some of these helpers")]

pub mod subscribed;

use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::follower::{
    Advance, DisconnectReason, Follower, FollowerAction, FollowerEvent, FollowerSettings, LinkAction,
};
use dunlinspread_config_sync::message::{BucketContent, Member, Role, ToClient, ToServer};
use dunlinspread_config_sync::resource::{Change, Key, Millis, Position, Resource, Transaction};
use dunlinspread_config_sync::table::Table;
use std::sync::Arc;

pub fn member(name: &str, zone: &str, region: &str) -> Member {
    Member { name: name.into(), zone: zone.into(), region: region.into(), role: Role::Subscriber }
}

pub fn server(name: &str, zone: Option<&str>, region: &str) -> Server {
    Server {
        name: name.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.map(Into::into),
        region: region.into(),
    }
}

pub fn allowance(tenant: &str, milli_per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second })
}

pub fn delete(tenant: &str) -> Change {
    Change::Delete(tenant_key(tenant))
}

pub fn tenant_key(tenant: &str) -> Key {
    Key::Tenant(tenant.into())
}

pub fn at(epoch: u64, revision: u64) -> Position {
    Position { epoch, revision }
}

/// Returns the tenant's allowance in `resource`, or 0 if there is none.
pub fn value(resource: Option<&Resource>) -> u64 {
    match resource {
        Some(Resource::TenantAllowance { milli_per_second, .. }) => *milli_per_second,
        _ => 0,
    }
}

/// The transactions of a publisher, with the table after each of them.
#[derive(Clone)]
pub struct History {
    pub position: Position,
    pub table: Table,
    pub transactions: Vec<Arc<Transaction>>,
    /// The table after each position.
    pub tables: Vec<(Position, Table)>,
}

impl History {
    pub fn new(epoch: u64) -> History {
        let position = at(epoch, 0);
        History { position, table: Table::new(), transactions: Vec::new(), tables: vec![] }
    }

    pub fn push(&mut self, changes: Vec<Change>) -> Arc<Transaction> {
        self.position = self.position.next();
        self.table.apply(&changes);
        let transaction = Arc::new(Transaction {
            position: self.position,
            changes,
            digest: self.table.digest(),
            published_unix_ms: 1_000 + self.position.revision,
        });
        self.transactions.push(transaction.clone());
        self.tables.push((self.position, self.table.clone()));
        transaction
    }

    /// Appends `count` transactions over a few tenants.
    pub fn grow(&mut self, count: u64) {
        for step in 0..count {
            let revision = self.position.revision;
            self.push(vec![allowance(&format!("tenant-{}", revision % 17), revision * 10 + step + 1)]);
        }
    }

    /// Returns the transactions after `position` as one message.
    pub fn since(&self, position: Position) -> ToClient {
        let later = self.transactions.iter().filter(|transaction| transaction.position > position);
        ToClient::Deltas(later.cloned().collect())
    }

    pub fn table_at(&self, position: Position) -> Option<&Table> {
        self.tables.iter().find(|(known, _)| *known == position).map(|(_, table)| table)
    }

    pub fn heartbeat(&self) -> ToClient {
        self.heartbeat_aged(0)
    }

    /// Returns the heartbeat of a server whose state has the given age.
    pub fn heartbeat_aged(&self, age_ms: Millis) -> ToClient {
        ToClient::Heartbeat { head: self.position, age_ms }
    }

    /// Returns a snapshot for a client with these bucket digests, with one bucket per piece.
    pub fn snapshot(&self, bucket_digests: &[u64]) -> Vec<ToClient> {
        let numbers = self.table.differing(bucket_digests);
        let mut messages: Vec<ToClient> =
            (0..).zip(numbers).map(|(sequence, bucket)| self.piece(sequence, bucket)).collect();
        let pieces = messages.len() as u32;
        messages.push(ToClient::SnapshotEnd {
            position: self.position,
            digest: self.table.digest(),
            pieces,
            published_unix_ms: 1_000 + self.position.revision,
        });
        messages
    }

    fn piece(&self, sequence: u32, bucket: u16) -> ToClient {
        let resources = self.table.bucket(bucket).to_vec();
        ToClient::Piece { sequence, buckets: vec![BucketContent { bucket, resources }] }
    }
}

/// A follower with its clock and the actions that its last event produced.
pub struct Driver {
    pub follower: Follower,
    pub now: Millis,
    pub actions: Vec<FollowerAction>,
}

impl Driver {
    pub fn new(settings: FollowerSettings) -> Driver {
        Driver::with_state(settings, Position::default(), Table::new())
    }

    pub fn with_state(settings: FollowerSettings, position: Position, table: Table) -> Driver {
        Driver { follower: Follower::new(settings, 0, position, table), now: 0, actions: Vec::new() }
    }

    pub fn event(&mut self, event: FollowerEvent) -> &[FollowerAction] {
        self.actions.clear();
        self.follower.on_event(self.now, event, &mut self.actions);
        &self.actions
    }

    pub fn receive(&mut self, message: ToClient) -> &[FollowerAction] {
        self.event(FollowerEvent::Received(message))
    }

    /// Advances the clock to the follower's next deadline and sends it a tick.
    pub fn wake(&mut self) -> &[FollowerAction] {
        self.now = self.now.max(self.follower.deadline());
        self.event(FollowerEvent::Tick)
    }

    pub fn tick_at(&mut self, now: Millis) -> &[FollowerAction] {
        self.now = now;
        self.event(FollowerEvent::Tick)
    }

    /// Ticks until the follower connects, accepts the connection, and returns the server's name.
    pub fn accept(&mut self) -> String {
        let name = self.next_attempt();
        self.event(FollowerEvent::Connected);
        assert!(matches!(self.sent()[..], [ToServer::Watch { .. }]), "a session begins with Watch");
        name
    }

    /// Ticks until the follower connects, and returns the server's name.
    pub fn next_attempt(&mut self) -> String {
        for _ in 0..10 {
            if let Some(name) = self.attempted() {
                self.actions.clear();
                return name;
            }
            self.wake();
        }
        panic!("the follower made no connection attempt within 10 ticks")
    }

    pub fn attempted(&self) -> Option<String> {
        self.actions.iter().find_map(|action| match action {
            FollowerAction::Link(LinkAction::Connect(server)) => Some(server.name.to_string()),
            _ => None,
        })
    }

    pub fn sent(&self) -> Vec<ToServer> {
        let sent = self.actions.iter().filter_map(|action| match action {
            FollowerAction::Link(LinkAction::Send(message)) => Some(message.clone()),
            _ => None,
        });
        sent.collect()
    }

    pub fn left(&self) -> Option<DisconnectReason> {
        self.actions.iter().find_map(|action| match action {
            FollowerAction::Link(LinkAction::Disconnect(reason)) => Some(reason.clone()),
            _ => None,
        })
    }

    pub fn advances(&self) -> Vec<&Advance> {
        let advances = self.actions.iter().filter_map(|action| match action {
            FollowerAction::Advanced(advance) => Some(advance),
            FollowerAction::Link(_) => None,
        });
        advances.collect()
    }

    /// Returns the bucket digests of the `FetchDifferences` among the last event's actions.
    pub fn fetched(&self) -> Option<Vec<u64>> {
        self.sent().into_iter().find_map(|message| match message {
            ToServer::FetchDifferences { bucket_digests } => Some(bucket_digests),
            _ => None,
        })
    }
}
