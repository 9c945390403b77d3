//! What is seen of a state, and what is wrong in it. The history is computed from the disk by itself, without the table of
//! the crate.

use super::explore::{ClientSeen, Seen};
use super::links::Link;
use super::setup;
use super::world::{Client, Contents, Judged, Machine, World, apply};
use dunlinspread_config_sync::fanout::Fanout;
use dunlinspread_config_sync::resource::{Change, Position, Resource, Transaction};
use std::hash::{DefaultHasher, Hash, Hasher};

fn hash_of(contents: &Contents) -> u64 {
    let mut hasher = DefaultHasher::new();
    contents.hash(&mut hasher);
    hasher.finish()
}

/// The value that a change of the model sets, by which it is known.
fn value_of(transaction: &Transaction) -> u64 {
    match transaction.changes.first() {
        Some(Change::Put(Resource::TenantAllowance { milli_per_second, .. })) => *milli_per_second,
        _ => 0,
    }
}

fn log_base(fanout: &Fanout) -> u64 {
    fanout.log().base().revision
}

impl World {
    pub fn seen(&self) -> Seen {
        let relay_base = self.relay().map_or(0, log_base);
        Seen {
            disk: self.disk.iter().map(|transaction| value_of(transaction)).collect(),
            under_way: self.under_way.iter().map(|transaction| value_of(transaction)).collect(),
            head: self.publisher.head().revision,
            log_bases: [log_base(self.publisher.fanout()), relay_base],
            proposed: self.proposed,
            crashes: self.crashes,
            relay_restarts: self.relay_restarts,
            breaks: self.breaks,
            heartbeats: self.heartbeats,
            clients: self.clients.iter().map(client_seen).collect(),
            judged: self.judged(),
        }
    }

    /// Snapshots that subscribers applied.
    pub fn snapshots(&self) -> u64 {
        let subscribers = self.clients.iter().skip(1);
        subscribers.map(|client| client.follower().counters().snapshots).sum()
    }

    fn relay(&self) -> Option<&Fanout> {
        self.clients.iter().find_map(|client| match &client.machine {
            Machine::Relay(relay) => Some(relay.fanout()),
            Machine::Subscriber { .. } => None,
        })
    }

    fn judged(&self) -> Judged {
        let durable = self.durable();
        let behind_disk = |client: &Client| client.follower().position() <= durable;
        let equal = |client: &Client| client.follower().position() == durable && self.is_whole(client);
        Judged {
            not_durable: !self.clients.iter().all(behind_disk),
            torn: !self.clients.iter().all(|client| self.is_whole(client)),
            regressed: self.regressed,
            quiet: self.is_quiet(),
            equal: self.clients.iter().all(equal),
        }
    }

    /// All changes are told, every client has a session, and nothing is on its way.
    fn is_quiet(&self) -> bool {
        let told = self.proposed == self.bounds.changes
            && self.under_way.is_empty()
            && self.publisher.head() == self.durable();
        told && self.clients.iter().all(|client| client.link.as_ref().is_some_and(Link::is_quiet))
    }

    /// Whether the tables of a client are those of the history at their positions. What is not durable is not judged
    /// here.
    fn is_whole(&self, client: &Client) -> bool {
        let follower = client.follower();
        let table = setup::contents_of(follower.table());
        let in_force = match &client.machine {
            Machine::Relay(_) => true,
            Machine::Subscriber { in_force, at, .. } => self.fits(*at, in_force),
        };
        in_force && self.fits(follower.position(), &table)
    }

    fn fits(&self, position: Position, contents: &Contents) -> bool {
        let mut wanted = Contents::new();
        let durable = self.disk.get(..position.revision as usize);
        for transaction in durable.into_iter().flatten() {
            apply(&mut wanted, &transaction.changes);
        }
        durable.is_none() || *contents == wanted
    }
}

fn client_seen(client: &Client) -> ClientSeen {
    let follower = client.follower();
    let position = follower.position();
    let in_force = match &client.machine {
        Machine::Relay(_) => 0,
        Machine::Subscriber { in_force, .. } => hash_of(in_force),
    };
    ClientSeen {
        position: (position.epoch, position.revision),
        table: follower.table().digest().0,
        in_force,
        fetches_whole: follower.counters().digest_mismatches > 0,
        link: client.link.as_ref().map(Link::fingerprint),
    }
}
