//! Support for the tests of the server side: helpers for changes, a history, and a client that follows the
//! protocol and checks the messages that it receives.
#![allow(dead_code, reason = "each test binary uses only some of these helpers")]

use dunlinspread_config_sync::fanout::{CloseReason, Fanout, FanoutAction, FanoutEvent, SessionId};
use dunlinspread_config_sync::message::{BucketContent, Member, Role, ToClient, ToServer, ZoneProgress};
use dunlinspread_config_sync::resource::{Change, Digest, Key, Millis, Position, Resource, Transaction};
use dunlinspread_config_sync::table::Table;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Epoch of the histories in these tests.
pub const EPOCH: u64 = 7;

pub fn at(revision: u64) -> Position {
    Position { epoch: EPOCH, revision }
}

pub fn tenant(name: &str, milli_per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: name.into(), milli_per_second })
}

pub fn route(name: &str, class: &str) -> Change {
    Change::Put(Resource::Route { route: name.into(), class: class.into() })
}

pub fn class(name: &str, max_running: u32) -> Change {
    Change::Put(Resource::ClassLimit { class: name.into(), max_running })
}

pub fn delete_class(name: &str) -> Change {
    Change::Delete(Key::Class(name.into()))
}

pub fn member(name: &str, zone: &str, role: Role) -> Member {
    Member { name: name.into(), zone: zone.into(), region: "north".into(), role }
}

pub fn zone_progress(zone: &str, subscribers: u32, least: Position, refusing: u32) -> ZoneProgress {
    ZoneProgress { zone: zone.into(), subscribers, least, refusing }
}

/// The history of a publisher, without the publisher itself.
pub struct History {
    pub position: Position,
    pub table: Table,
}

impl History {
    pub fn new() -> History {
        History { position: at(0), table: Table::new() }
    }

    /// Applies `changes` and returns them as the next transaction, with its revision as the time.
    pub fn next(&mut self, changes: Vec<Change>) -> Arc<Transaction> {
        self.table.apply(&changes);
        self.position = self.position.next();
        Arc::new(Transaction {
            position: self.position,
            changes,
            digest: self.table.digest(),
            published_unix_ms: self.position.revision,
        })
    }

    /// Returns the next `count` transactions, each of which changes one tenant.
    pub fn tenants(&mut self, count: u64) -> Vec<Arc<Transaction>> {
        (0..count)
            .map(|_| {
                let number = self.position.revision + 1;
                self.next(vec![tenant(&format!("tenant-{}", number % 50), number)])
            })
            .collect()
    }
}

/// A fan-out with the clients of its sessions, which receive each message at once.
pub struct Server {
    pub fanout: Fanout,
    pub now: Millis,
    pub clients: BTreeMap<SessionId, Client>,
}

impl Server {
    pub fn new(fanout: Fanout) -> Server {
        Server { fanout, now: 0, clients: BTreeMap::new() }
    }

    /// Opens a session, sends the `Watch` of a client that has `position` and `table`, and returns the
    /// client's answers.
    pub fn watch(&mut self, id: u64, position: Position, table: &Table) -> Vec<ToServer> {
        let client = Client::new(position, table.clone());
        let watch = client.watch(&format!("member-{id}"));
        self.clients.insert(SessionId(id), client);
        self.event(FanoutEvent::Opened(SessionId(id)));
        self.event(FanoutEvent::Received(SessionId(id), watch))
    }

    /// Handles an event, delivers the resulting messages, and returns the clients' answers.
    pub fn event(&mut self, event: FanoutEvent) -> Vec<ToServer> {
        let answers = self.event_with_ids(event);
        answers.into_iter().map(|(_, answer)| answer).collect()
    }

    pub fn event_with_ids(&mut self, event: FanoutEvent) -> Vec<(SessionId, ToServer)> {
        let mut out = Vec::new();
        self.fanout.on_event(self.now, event, &mut out);
        self.deliver(out)
    }

    pub fn publish(&mut self, history: &History, transactions: Vec<Arc<Transaction>>) {
        let mut out = Vec::new();
        self.fanout.publish(self.now, transactions, &history.table, &mut out);
        let answers = self.deliver(out);
        self.settle_answers(answers);
    }

    pub fn reset(&mut self, position: Position, table: &Table) {
        let mut out = Vec::new();
        self.fanout.reset(self.now, position, table.clone(), 1, &mut out);
        let answers = self.deliver(out);
        self.settle_answers(answers);
    }

    /// Sends a client's answers to the fan-out, and the answers to the resulting messages, until there are
    /// none.
    pub fn settle(&mut self, id: u64, answers: Vec<ToServer>) {
        self.settle_answers(answers.into_iter().map(|answer| (SessionId(id), answer)).collect());
    }

    pub fn settle_answers(&mut self, mut answers: Vec<(SessionId, ToServer)>) {
        while !answers.is_empty() {
            let mut next = Vec::new();
            for (session, answer) in answers {
                next.extend(self.event_with_ids(FanoutEvent::Received(session, answer)));
            }
            answers = next;
        }
    }

    pub fn tick_after(&mut self, millis: Millis) {
        self.now += millis;
        let answers = self.event_with_ids(FanoutEvent::Tick);
        self.settle_answers(answers);
    }

    pub fn client(&self, id: u64) -> &Client {
        &self.clients[&SessionId(id)]
    }

    pub fn closed(&self, id: u64) -> Option<CloseReason> {
        self.client(id).closed
    }

    pub fn deliver(&mut self, actions: Vec<FanoutAction>) -> Vec<(SessionId, ToServer)> {
        let mut answers = Vec::new();
        for action in actions {
            match action {
                FanoutAction::Send { session, message } => {
                    let Some(client) = self.clients.get_mut(&session) else { continue };
                    let answered = client.on_message(message);
                    answers.extend(answered.into_iter().map(|answer| (session, answer)));
                }
                FanoutAction::Close { session, reason } => {
                    if let Some(client) = self.clients.get_mut(&session) {
                        assert_eq!(client.closed, None, "session {session:?} closed twice");
                        client.closed = Some(reason);
                    }
                }
            }
        }
        answers
    }
}

/// A client that follows the protocol and panics on any message that the protocol does not allow.
pub struct Client {
    pub position: Position,
    pub table: Table,
    pub closed: Option<CloseReason>,
    pub messages: Vec<Arc<ToClient>>,
    pub heads: Vec<Position>,
    pub resyncs: usize,
    pub busy: Vec<Millis>,
    staged: Vec<BucketContent>,
    pieces: u32,
}

impl Client {
    pub fn new(position: Position, table: Table) -> Client {
        Client {
            position,
            table,
            closed: None,
            messages: Vec::new(),
            heads: Vec::new(),
            resyncs: 0,
            busy: Vec::new(),
            staged: Vec::new(),
            pieces: 0,
        }
    }

    pub fn watch(&self, name: &str) -> ToServer {
        let member = member(name, "a", Role::Subscriber);
        ToServer::Watch { member, position: self.position, digest: self.table.digest() }
    }

    /// Returns the messages other than heartbeats.
    pub fn payloads(&self) -> Vec<&ToClient> {
        let messages = self.messages.iter().map(|message| &**message);
        messages.filter(|message| !matches!(message, ToClient::Heartbeat { .. })).collect()
    }

    fn on_message(&mut self, message: Arc<ToClient>) -> Vec<ToServer> {
        assert_eq!(self.closed, None, "a message after the close: {message:?}");
        self.messages.push(message.clone());
        match &*message {
            ToClient::Deltas(transactions) => self.on_deltas(transactions),
            ToClient::Resync { .. } => {
                self.resyncs += 1;
                self.staged.clear();
                self.pieces = 0;
                let bucket_digests =
                    if self.table.is_empty() { Vec::new() } else { self.table.bucket_digests() };
                return vec![ToServer::FetchDifferences { bucket_digests }];
            }
            ToClient::Busy { retry_after_ms } => self.busy.push(*retry_after_ms),
            ToClient::Piece { sequence, buckets } => {
                assert_eq!(*sequence, self.pieces, "pieces arrive in order");
                self.pieces += 1;
                self.staged.extend(buckets.iter().cloned());
                return vec![ToServer::PieceTaken { sequence: *sequence }];
            }
            ToClient::SnapshotEnd { position, digest, pieces, .. } => {
                assert_eq!(*pieces, self.pieces, "all pieces arrived");
                self.on_snapshot(*position, *digest);
            }
            ToClient::Heartbeat { head, .. } => self.heads.push(*head),
        }
        Vec::new()
    }

    fn on_deltas(&mut self, transactions: &[Arc<Transaction>]) {
        assert!(!transactions.is_empty(), "a `Deltas` message without transactions");
        for transaction in transactions {
            assert_eq!(transaction.position, self.position.next(), "deltas are consecutive");
            self.table.apply(&transaction.changes);
            self.position = transaction.position;
            assert_eq!(self.table.digest(), transaction.digest, "the table after {:?}", self.position);
        }
    }

    fn on_snapshot(&mut self, position: Position, digest: Digest) {
        self.table.replace(std::mem::take(&mut self.staged));
        assert_eq!(self.table.digest(), digest, "the snapshot is whole");
        self.position = position;
    }
}
