//! Simulation of a publisher, relays and subscribers with seeded faults. No process ever holds an unpublished
//! state or moves backwards, and at the end all hold the same state.

mod fleet_support;

use fleet_support::{SUBSCRIBERS, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOAD_MS: u64 = 60_000;
/// Time within which clients leave a silent relay and retry one that was cut off, and reports reach the
/// publisher.
const SETTLE_MS: u64 = 60_000;

/// Limit until a change is in force: three hops of at most 500 ms, the publisher's disk and flushes.
const IN_FORCE_MS: u64 = 1_600;
/// Limit until the publisher knows that a change is in force: three reports, each after an interval and a hop
/// of at most 500 ms.
const KNOWN_MS: u64 = 4_000;

/// Asserts that all processes have the publisher's state and that the publisher knows of it.
fn assert_converged(world: &World) {
    let head = world.publisher.head();
    let digest = world.publisher.table().digest();
    for node in &world.relays {
        assert_eq!(node.relay.position(), head);
        assert_eq!(node.relay.follower().table().digest(), digest);
    }
    for node in &world.subscribers {
        assert_eq!(node.subscriber.follower().position(), head);
        assert_eq!(node.subscriber.follower().table().digest(), digest);
        assert_eq!((node.in_force_at, node.subscriber.applied()), (head, head));
        assert_eq!(node.in_force.digest(), digest);
        assert_eq!(node.subscriber.held_back(), 0);
    }
    assert_progress(world);
}

fn assert_progress(world: &World) {
    let zones = world.publisher.least_in_force();
    let reported: Vec<_> =
        zones.iter().map(|zone| (&*zone.zone, zone.subscribers, zone.least, zone.refusing)).collect();
    let (head, half) = (world.publisher.head(), SUBSCRIBERS as u32 / 2);
    assert_eq!(reported, [("a1", half, head, 0), ("a2", half, head, 0)]);
}

proptest! {
    // The fixed seed makes the result the same on every run.
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    })]
    #[test]
    fn whatever_breaks_all_converge_and_none_is_torn(seed in any::<u64>(), faults in 0_usize..40) {
        let mut world = World::new(seed);
        world.schedule_load(LOAD_MS, 100, faults);
        world.run_until(LOAD_MS);
        world.net.heal();
        world.propose_acceptable();
        world.run_until(LOAD_MS + SETTLE_MS);
        assert_converged(&world);
    }
}

#[test]
fn without_faults_a_change_is_in_force_and_known_above_soon() {
    let mut world = World::new(5);
    world.schedule_load(5_000, 20, 0);
    world.run_until(10_000);
    world.propose_acceptable();
    world.run_until(10_000 + IN_FORCE_MS);
    let head = world.publisher.head();
    for node in &world.subscribers {
        assert_eq!(node.in_force_at, head);
    }
    world.run_until(10_000 + KNOWN_MS);
    assert_converged(&world);
}
