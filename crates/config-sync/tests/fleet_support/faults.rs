//! Proposals and faults of the simulation.

use super::network::{Event, Node};
use super::{POLICY_MODULUS, RELAYS, SUBSCRIBERS, World, new_relay, publisher_settings};
use dunlinspread_config_sync::publisher::{ProposeError, Publisher};
use dunlinspread_config_sync::resource::{Change, Key, Millis, Position, Resource, Transaction};
use dunlinspread_config_sync::table::Table;
use rand::RngExt;
use std::collections::BTreeMap;

const TENANTS: u64 = 40;

fn allowance(tenant: u64, milli_per_second: u64) -> Change {
    let tenant = format!("tenant-{tenant}").into();
    Change::Put(Resource::TenantAllowance { tenant, milli_per_second })
}

impl World {
    /// Schedules proposals and faults at random times before `end`.
    pub fn schedule_load(&mut self, end: Millis, proposals: usize, faults: usize) {
        for number in 0..proposals + faults {
            let at = self.net.now + self.net.rng.random_range(0..end - self.net.now);
            let event = if number < proposals { Event::Propose } else { Event::Fault };
            self.net.schedule(at, event);
        }
    }

    /// Proposes a few random changes; strict subscribers refuse some of the values.
    pub fn propose(&mut self) {
        let mut changes = BTreeMap::new();
        for _ in 0..self.net.rng.random_range(1..4) {
            let tenant = self.net.rng.random_range(0..TENANTS);
            let change = if self.net.rng.random_range(0..6) == 0 {
                Change::Delete(Key::Tenant(format!("tenant-{tenant}").into()))
            } else {
                allowance(tenant, self.net.rng.random_range(1..60))
            };
            changes.insert(tenant, change);
        }
        self.propose_changes(changes.into_values().collect());
    }

    fn propose_changes(&mut self, changes: Vec<Change>) {
        let mut out = Vec::new();
        match self.publisher.propose(self.net.now, changes, &mut out) {
            Ok(_) | Err(ProposeError::NoChange) => self.publisher_actions(out),
            Err(error) => panic!("a valid proposal was refused: {error}"),
        }
    }

    /// Proposes a value that no subscriber refuses for every tenant.
    pub fn propose_acceptable(&mut self) {
        let changes = (0..TENANTS).map(|tenant| allowance(tenant, tenant * POLICY_MODULUS + 1)).collect();
        self.propose_changes(changes);
    }

    pub fn on_durable(&mut self, starts: u64, position: Position) {
        if starts != self.publisher_starts {
            return;
        }
        while self.under_way.front().is_some_and(|transaction| transaction.position <= position) {
            let transaction = self.under_way.pop_front().expect("the front is present");
            self.published.push(&transaction);
            self.store.push(transaction);
        }
        let mut out = Vec::new();
        self.publisher.on_durable(self.net.now, position, &mut out);
        self.published.set_head(self.net.now, self.publisher.head());
        self.publisher_actions(out);
    }

    pub fn fault(&mut self) {
        match self.net.rng.random_range(0..12) {
            0..=2 => self.lose_link(false),
            3..=4 => self.lose_link(true),
            5..=6 => {
                let number = self.net.rng.random_range(0..RELAYS);
                self.restart_relay(number);
            }
            7..=8 => {
                let number = self.net.rng.random_range(0..SUBSCRIBERS);
                self.restart_subscriber(number);
            }
            9 => self.restart_publisher(),
            10 => self.cut_off(),
            _ if self.net.rng.random_range(0..4) == 0 => self.lose_store(),
            _ => {}
        }
    }

    fn lose_link(&mut self, silently: bool) {
        let all = self.net.all();
        if all.is_empty() {
            return;
        }
        let id = all[self.net.rng.random_range(0..all.len())];
        if silently { self.net.stop(id) } else { self.net.break_off(id) }
    }

    /// Makes a server refuse connections for a while; its open connections break or stop carrying messages.
    fn cut_off(&mut self) {
        let server = match self.net.rng.random_range(0..=RELAYS) {
            0 => Node::Publisher,
            number => Node::Relay(number - 1),
        };
        let until = self.net.now + self.net.rng.random_range(500..9_000);
        self.net.cut(server, until);
        let silently = self.net.rng.random_range(0..2) == 0;
        for id in self.net.of(server) {
            if silently { self.net.stop(id) } else { self.net.break_off(id) }
        }
    }

    fn break_all(&mut self, node: Node) {
        for id in self.net.of(node) {
            self.net.break_off(id);
        }
    }

    fn restart_relay(&mut self, number: usize) {
        self.break_all(Node::Relay(number));
        let seed = self.net.rng.random();
        self.relays[number] = new_relay(number, self.net.now, seed);
    }

    fn restart_subscriber(&mut self, number: usize) {
        self.break_all(Node::Subscriber(number));
        let mut out = Vec::new();
        self.subscribers[number].restart(self.net.now, &mut out);
        self.subscriber_actions(number, out);
    }

    /// Restarts the publisher from a snapshot of its store and the transactions after it. Transactions that
    /// were not durable are lost.
    fn restart_publisher(&mut self) {
        self.break_all(Node::Publisher);
        self.publisher_starts += 1;
        self.under_way.clear();
        let cut = self.net.rng.random_range(0..=self.store.len());
        let mut table = Table::new();
        self.store[..cut].iter().for_each(|transaction| table.apply(&transaction.changes));
        let position = Position { epoch: self.epoch, revision: cut as u64 };
        let published = self.store[..cut].last().map_or(0, |transaction| transaction.published_unix_ms);
        let later: Vec<Transaction> =
            self.store[cut..].iter().map(|transaction| (**transaction).clone()).collect();
        let restored = Publisher::restore(publisher_settings(), position, table, published, later);
        self.publisher = restored.expect("the store was written in order");
    }

    /// Restarts the publisher without its store: it begins a higher epoch with an empty table.
    fn lose_store(&mut self) {
        self.break_all(Node::Publisher);
        self.publisher_starts += 1;
        self.under_way.clear();
        self.store.clear();
        self.epoch += 1;
        self.published.begin(self.epoch);
        self.published.set_head(self.net.now, Position { epoch: self.epoch, revision: 0 });
        self.publisher = Publisher::new(publisher_settings(), self.epoch);
    }
}
