//! The order of servers: it depends only on names, puts near servers first, and stays stable when one is
//! lost.

mod client_support;

use client_support::{member, server};
use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::selection::{Proximity, proximity, ranked};
use proptest::prelude::*;
use std::collections::HashMap;

const ZONES: [&str; 4] = ["a1", "a2", "b1", "b2"];

fn region_of(zone: &str) -> &str {
    &zone[..1]
}

/// Returns `count` servers, every fifth of which serves a whole region.
fn servers(count: usize) -> Vec<Server> {
    let one = |number: usize| {
        let zone = ZONES[number % ZONES.len()];
        let own = (number % 5 != 0).then_some(zone);
        server(&format!("relay-{number}"), own, region_of(zone))
    };
    (0..count).map(one).collect()
}

fn names(servers: &[Server]) -> Vec<String> {
    servers.iter().map(|server| server.name.to_string()).collect()
}

proptest! {
    #[test]
    fn the_order_depends_on_names_alone(count in 1_usize..30, client in 0_u32..1000, shuffled in any::<u64>()) {
        let client = member(&format!("server-{client}"), "a1", "a");
        let servers = servers(count);
        let mut other = servers.clone();
        other.rotate_left((shuffled % count as u64) as usize);
        other.reverse();
        prop_assert_eq!(ranked(&client, &servers), ranked(&client, &other));
    }

    #[test]
    fn zone_comes_before_region_before_any(count in 1_usize..40, client in 0_u32..1000, zone in 0_usize..4) {
        let client = member(&format!("server-{client}"), ZONES[zone], region_of(ZONES[zone]));
        let order: Vec<Proximity> =
            ranked(&client, &servers(count)).iter().map(|server| proximity(&client, server)).collect();
        prop_assert_eq!(order.len(), count);
        prop_assert!(order.is_sorted());
    }

    #[test]
    fn without_a_server_the_rest_keeps_its_order(count in 2_usize..30, lost in any::<usize>(), client in 0_u32..1000) {
        let client = member(&format!("server-{client}"), "b1", "b");
        let all = servers(count);
        let lost = &all[lost % count];
        let left: Vec<Server> = all.iter().filter(|server| server != &lost).cloned().collect();
        let mut expected = ranked(&client, &all);
        expected.retain(|server| server != lost);
        prop_assert_eq!(ranked(&client, &left), expected);
    }
}

#[test]
fn only_the_clients_of_a_lost_server_move_and_they_spread() {
    let all: Vec<Server> = (0..5).map(|n| server(&format!("relay-{n}"), Some("a1"), "a")).collect();
    let left = &all[1..];
    let mut moved_to: HashMap<String, u32> = HashMap::new();
    let mut load: HashMap<String, u32> = HashMap::new();
    for number in 0..2_000 {
        let client = member(&format!("server-{number}"), "a1", "a");
        let before = names(&ranked(&client, &all))[0].clone();
        let after = names(&ranked(&client, left))[0].clone();
        *load.entry(before.clone()).or_default() += 1;
        if before == "relay-0" {
            *moved_to.entry(after).or_default() += 1;
        } else {
            assert_eq!(before, after, "server-{number} moved without need");
        }
    }
    assert!(load.values().all(|clients| (300..=500).contains(clients)), "uneven load: {load:?}");
    assert_eq!(moved_to.len(), 4, "the clients of the lost server go to all others: {moved_to:?}");
    assert!(
        moved_to.values().all(|clients| (50..=150).contains(clients)),
        "uneven spread of the moved clients: {moved_to:?}"
    );
}

#[test]
fn a_relay_never_ranks_itself() {
    let client = member("relay-1", "a1", "a");
    let order = names(&ranked(&client, &servers(4)));
    assert_eq!(order.len(), 3);
    assert!(!order.contains(&"relay-1".to_string()));
}
