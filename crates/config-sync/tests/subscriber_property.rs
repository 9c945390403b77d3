//! Property test of the subscriber. For any batches of transactions, some of them refused, with restarts
//! between them, exactly the accepted transactions are in force, each whole and in order.

mod client_support;

use client_support::subscribed::{Subscribed, is_refused, settings};
use client_support::{History, allowance, delete};
use dunlinspread_config_sync::resource::{Change, Resource};
use dunlinspread_config_sync::table::Table;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// A step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A transaction is published; it waits for the next batch. The value 0 deletes the tenant.
    Publish(BTreeMap<u8, u64>),
    /// All waiting transactions arrive in one message.
    Deliver,
    /// The process restarts from its disk.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    // About a fifth of the values is refused; 0 stands for a deletion.
    let value = prop_oneof![8 => 1_u64..100, 2 => Just(113_u64), 1 => Just(0_u64)];
    let transaction = prop::collection::btree_map(0_u8..8, value, 1..4);
    let step = prop_oneof![
        6 => transaction.prop_map(Step::Publish),
        3 => Just(Step::Deliver),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

fn change(tenant: u8, value: u64) -> Change {
    let tenant = format!("tenant-{tenant}");
    if value == 0 { delete(&tenant) } else { allowance(&tenant, value) }
}

fn refuses(change: &Change) -> bool {
    matches!(change, Change::Put(Resource::TenantAllowance { milli_per_second, .. }) if is_refused(*milli_per_second))
}

struct World {
    history: History,
    /// Table of the accepted transactions, applied in order.
    expected: Table,
    subscribed: Subscribed,
}

impl World {
    fn new() -> World {
        let subscribed = Subscribed::start(settings(), None);
        let mut world = World { history: History::new(1), expected: Table::new(), subscribed };
        world.publish(vec![change(0, 1)]);
        world.subscribed.connect();
        let history = world.history.clone();
        world.subscribed.fetch(&history);
        world
    }

    fn publish(&mut self, changes: Vec<Change>) {
        if !changes.iter().any(refuses) {
            self.expected.apply(&changes);
        }
        self.history.push(changes);
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Publish(values) => {
                self.publish(values.iter().map(|(tenant, value)| change(*tenant, *value)).collect());
            }
            Step::Deliver => self.deliver(),
            Step::Restart => {
                let disk = self.subscribed.disk.clone();
                let in_force = self.subscribed.settings.digest();
                self.subscribed = Subscribed::start(settings(), Some(disk));
                assert_eq!(
                    self.subscribed.settings.digest(),
                    in_force,
                    "the settings in force are the same after a restart"
                );
                self.subscribed.connect();
            }
        }
    }

    fn deliver(&mut self) {
        let position = self.subscribed.subscriber.follower().position();
        self.subscribed.receive(self.history.since(position));
        assert_eq!(self.subscribed.settings.digest(), self.expected.digest());
        assert_eq!(self.subscribed.in_force_at(), self.history.position);
        let mirror = self.subscribed.subscriber.follower().table();
        assert_eq!(mirror.digest(), self.history.table.digest());
        for tenant in 0..8 {
            self.subscribed.tenant(&format!("tenant-{tenant}"));
        }
    }
}

proptest! {
    // The fixed seed makes the result the same on every run.
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    })]
    #[test]
    fn in_force_is_what_was_accepted_each_whole_and_in_order(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.apply_step(step);
        }
        world.deliver();
        let acceptable = (0..8).map(|tenant| change(tenant, 7)).collect();
        world.publish(acceptable);
        world.deliver();
        prop_assert_eq!(world.subscribed.subscriber.held_back(), 0);
        prop_assert_eq!(world.subscribed.settings.digest(), world.history.table.digest());
    }
}
