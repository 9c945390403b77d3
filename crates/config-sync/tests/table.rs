//! The table compared with a plain map, and its digests with recomputed ones.

mod server_support;

use dunlinspread_config_sync::message::{BUCKETS, BucketContent};
use dunlinspread_config_sync::resource::{Change, Digest, Key, Resource};
use dunlinspread_config_sync::table::{Table, bucket_of};
use proptest::prelude::*;
use server_support::{class, route, tenant};
use std::collections::BTreeMap;

type Model = BTreeMap<Key, Resource>;

fn name() -> impl Strategy<Value = String> {
    prop_oneof![(0..40u32).prop_map(|number| format!("n{number}")), "[a-c]{1,3}", "\\PC{1,12}"]
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (name(), 0..4u64).prop_map(|(name, value)| tenant(&name, value)),
        2 => (name(), name()).prop_map(|(name, other)| route(&name, &other)),
        2 => (name(), 1..4u32).prop_map(|(name, value)| class(&name, value)),
        1 => name().prop_map(|name| Change::Delete(Key::Tenant(name.into()))),
        1 => name().prop_map(|name| Change::Delete(Key::Route(name.into()))),
        1 => name().prop_map(|name| Change::Delete(Key::Class(name.into()))),
    ]
}

fn changes(max_count: usize) -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(change(), 0..max_count)
}

fn apply_to_model(model: &mut Model, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(resource) => {
                model.insert(resource.key(), resource.clone());
            }
            Change::Delete(key) => {
                model.remove(key);
            }
        }
    }
}

fn table_of(changes: &[Change]) -> Table {
    let mut table = Table::new();
    table.apply(changes);
    table
}

/// Returns a table of the same content, built in another order.
fn rebuilt(model: &Model) -> Table {
    table_of(&model.values().rev().cloned().map(Change::Put).collect::<Vec<_>>())
}

fn content(table: &Table) -> Model {
    table.iter().map(|resource| (resource.key(), resource.clone())).collect()
}

fn assert_matches_model(table: &Table, model: &Model) {
    assert_eq!(table.len(), model.len());
    assert_eq!(table.is_empty(), model.is_empty());
    assert_eq!(table.iter().count(), model.len(), "a resource occurs twice");
    assert_eq!(&content(table), model);
    for (key, resource) in model {
        assert_eq!(table.get(key), Some(resource));
        assert!(table.bucket(bucket_of(key)).contains(resource));
    }
    let again = rebuilt(model);
    assert_eq!(table.digest(), again.digest());
    assert_eq!(table.bucket_digests(), again.bucket_digests());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_table_is_a_map(steps in prop::collection::vec(changes(12), 0..12), queried in change()) {
        let (mut table, mut model) = (Table::new(), Model::new());
        for changes in &steps {
            table.apply(changes);
            apply_to_model(&mut model, changes);
            assert_matches_model(&table, &model);
        }
        prop_assert_eq!(table.get(&queried.key()), model.get(&queried.key()));
    }

    #[test]
    fn clones_keep_what_they_had(steps in prop::collection::vec(changes(8), 1..10)) {
        let (mut table, mut model) = (Table::new(), Model::new());
        let mut clones = Vec::new();
        for changes in &steps {
            clones.push((table.clone(), model.clone()));
            table.apply(changes);
            apply_to_model(&mut model, changes);
        }
        for (table, model) in &clones {
            assert_matches_model(table, model);
        }
    }

    #[test]
    fn changes_to_lead_from_one_to_the_other(first in changes(40), more in changes(20), other in changes(40)) {
        let before = table_of(&first);
        let mut after = before.clone();
        after.apply(&more);
        for target in [after, table_of(&other)] {
            let steps = before.changes_to(&target);
            let mut keys: Vec<Key> = steps.iter().map(Change::key).collect();
            keys.sort();
            keys.dedup();
            prop_assert_eq!(keys.len(), steps.len(), "a key occurs twice");
            let mut result = before.clone();
            result.apply(&steps);
            prop_assert_eq!(content(&result), content(&target));
            prop_assert_eq!(result.digest(), target.digest());
            prop_assert_eq!(result.changes_to(&target), vec![]);
        }
    }

    #[test]
    fn differing_buckets_replaced_make_tables_equal(first in changes(40), other in changes(40)) {
        let (server, mut client) = (table_of(&first), table_of(&other));
        let differing = server.differing(&client.bucket_digests());
        for number in 0..BUCKETS as u16 {
            let same = server.bucket(number) == client.bucket(number);
            prop_assert_eq!(same, !differing.contains(&number));
        }
        let contents = differing.iter().map(|&bucket| BucketContent { bucket, resources: server.bucket(bucket).to_vec() });
        client.replace(contents.collect());
        prop_assert_eq!(client.digest(), server.digest());
        prop_assert_eq!(content(&client), content(&server));
        prop_assert_eq!(client.len(), server.len());
        prop_assert!(server.differing(&client.bucket_digests()).is_empty());
    }

    #[test]
    fn an_empty_slice_stands_for_an_empty_table(first in changes(40)) {
        let table = table_of(&first);
        let filled: Vec<u16> = (0..BUCKETS as u16).filter(|&number| !table.bucket(number).is_empty()).collect();
        prop_assert_eq!(table.differing(&[]), filled.clone());
        prop_assert_eq!(table.differing(&Table::new().bucket_digests()), filled);
    }

    #[test]
    fn whatever_is_sent_as_a_bucket_leaves_a_sound_table(
        first in changes(20),
        sent in prop::collection::vec((any::<u16>(), changes(6)), 0..6),
    ) {
        let mut table = table_of(&first);
        let contents = sent.into_iter().map(|(bucket, changes)| {
            let resources = changes.into_iter().filter_map(|change| match change {
                Change::Put(resource) => Some(resource),
                Change::Delete(_) => None,
            });
            BucketContent { bucket, resources: resources.collect() }
        });
        table.replace(contents.collect());
        assert_matches_model(&table, &content(&table));
    }
}

#[test]
fn an_empty_table_has_the_default_digest() {
    let mut table = Table::new();
    assert_eq!(table.digest(), Digest::default());
    assert_eq!(table.bucket_digests(), vec![0; BUCKETS]);
    table.apply(&[tenant("a", 1)]);
    assert_ne!(table.digest(), Digest::default());
    table.apply(&[Change::Delete(Key::Tenant("a".into()))]);
    assert_eq!(table.digest(), Digest::default());
}

#[test]
fn names_and_values_can_t_be_taken_for_each_other() {
    let tables = [
        vec![route("ab", "c")],
        vec![route("a", "bc")],
        vec![tenant("ab", 99)],
        vec![class("ab", 99)],
        vec![tenant("ab", 98)],
        vec![route("a", "b"), route("b", "a")],
        vec![route("a", "a"), route("b", "b")],
    ];
    let mut digests: Vec<Digest> = tables.iter().map(|changes| table_of(changes).digest()).collect();
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), tables.len());
}

#[test]
fn what_changes_nothing_copies_nothing() {
    let table = table_of(&[tenant("a", 1), class("gold", 3)]);
    let mut other = table.clone();
    assert!(other.shares_with(&table));
    other.apply(&[tenant("a", 1), Change::Delete(Key::Tenant("b".into()))]);
    assert!(other.shares_with(&table));
    other.apply(&[tenant("a", 2)]);
    assert!(!other.shares_with(&table));
    assert_ne!(other, table);
    other.apply(&[tenant("a", 1)]);
    assert!(!other.shares_with(&table));
    assert_eq!(other, table);
}

#[test]
fn a_bucket_out_of_range_is_empty() {
    let table = table_of(&[tenant("a", 1)]);
    assert!(table.bucket(BUCKETS as u16).is_empty());
    assert!(table.bucket(u16::MAX).is_empty());
}

/// Pins the digests, because servers of different builds compare them: a change of the encoding must fail
/// this test.
#[test]
fn digests_are_what_they_were() {
    let table = table_of(&[tenant("acme", 1_500), route("Get", "gold"), class("gold", 8)]);
    assert_eq!(table.digest(), Digest(PINNED_DIGEST));
    assert_eq!(bucket_of(&Key::Tenant("acme".into())), PINNED_BUCKET);
}

const PINNED_DIGEST: u128 = 79_372_402_357_561_735_034_238_875_043_112_104_973;
const PINNED_BUCKET: u16 = 2_273;
