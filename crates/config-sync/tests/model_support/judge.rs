//! The fingerprint of a state and the checks of its properties. The expected history is computed from the
//! disk independently of the crate's own table.

use super::explore::{ClientFingerprint, Fingerprint};
use super::links::Link;
use super::setup;
use super::world::{Checks, Client, Contents, Machine, World, apply};
use dunlinspread_config_sync::fanout::Fanout;
use dunlinspread_config_sync::resource::{Change, Position, Resource, Transaction};
use std::hash::{DefaultHasher, Hash, Hasher};

fn hash_of(contents: &Contents) -> u64 {
    let mut hasher = DefaultHasher::new();
    contents.hash(&mut hasher);
    hasher.finish()
}

/// Returns the value that a change of the model sets; it identifies the change.
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
    pub fn fingerprint(&self) -> Fingerprint {
        let relay_base = self.relay().map_or(0, log_base);
        Fingerprint {
            disk: self.disk.iter().map(|transaction| value_of(transaction)).collect(),
            under_way: self.under_way.iter().map(|transaction| value_of(transaction)).collect(),
            head: self.publisher.head().revision,
            log_bases: [log_base(self.publisher.fanout()), relay_base],
            proposed: self.proposed,
            crashes: self.crashes,
            relay_restarts: self.relay_restarts,
            breaks: self.breaks,
            heartbeats: self.heartbeats,
            clients: self.clients.iter().map(client_fingerprint).collect(),
            checks: self.checks(),
        }
    }

    /// Returns the number of snapshots that subscribers applied.
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

    fn checks(&self) -> Checks {
        let durable = self.durable();
        let is_durable = |client: &Client| client.follower().position() <= durable;
        let is_equal = |client: &Client| client.follower().position() == durable && self.is_whole(client);
        Checks {
            not_durable: !self.clients.iter().all(is_durable),
            torn: !self.clients.iter().all(|client| self.is_whole(client)),
            regressed: self.regressed,
            quiet: self.is_quiet(),
            equal: self.clients.iter().all(is_equal),
        }
    }

    /// Returns whether all changes are published, every client has a session and no message is in transit.
    fn is_quiet(&self) -> bool {
        let published = self.proposed == self.bounds.changes
            && self.under_way.is_empty()
            && self.publisher.head() == self.durable();
        published && self.clients.iter().all(|client| client.link.as_ref().is_some_and(Link::is_quiet))
    }

    /// Returns whether a client's tables equal the history at their positions. Positions that are not durable
    /// are not checked here.
    fn is_whole(&self, client: &Client) -> bool {
        let follower = client.follower();
        let table = setup::contents_of(follower.table());
        let in_force = match &client.machine {
            Machine::Relay(_) => true,
            Machine::Subscriber { in_force, at, .. } => self.matches_history(*at, in_force),
        };
        in_force && self.matches_history(follower.position(), &table)
    }

    fn matches_history(&self, position: Position, contents: &Contents) -> bool {
        let mut expected = Contents::new();
        let durable = self.disk.get(..position.revision as usize);
        for transaction in durable.into_iter().flatten() {
            apply(&mut expected, &transaction.changes);
        }
        durable.is_none() || *contents == expected
    }
}

fn client_fingerprint(client: &Client) -> ClientFingerprint {
    let follower = client.follower();
    let position = follower.position();
    let in_force = match &client.machine {
        Machine::Relay(_) => 0,
        Machine::Subscriber { in_force, .. } => hash_of(in_force),
    };
    ClientFingerprint {
        position: (position.epoch, position.revision),
        table: follower.table().digest().0,
        in_force,
        fetches_whole: follower.counters().digest_mismatches > 0,
        link: client.link.as_ref().map(Link::fingerprint),
    }
}
