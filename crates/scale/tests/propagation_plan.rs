//! The plan of a `propagation` run: the participants, the published changes with their times, and the faults.

use dunlinspread_config_sync::resource::check;
use dunlinspread_scale::propagation::changes::planned_transactions;
use dunlinspread_scale::propagation::control::Traffic;
use dunlinspread_scale::propagation::dataset::{base_resources, base_transactions, sequence_of};
use dunlinspread_scale::propagation::faults::{Step, fault_count, schedule};
use dunlinspread_scale::propagation::pace::proposal_times_ms;
use dunlinspread_scale::propagation::topology::{Shape, Topology};
use std::collections::HashSet;

const TARGET: Shape = Shape {
    subscribers: 7_100,
    relays: 43,
    tenants: 390_000,
    routes: 64_000,
    classes: 256,
    regions: 6,
    zones: 16,
};
const SMALL: Shape =
    Shape { subscribers: 50, relays: 10, tenants: 500, routes: 100, classes: 8, regions: 2, zones: 4 };

#[test]
fn the_target_has_two_relays_in_each_zone() {
    let topology = Topology::new(TARGET, 8).unwrap();
    assert_eq!(topology.zone_subscribers.iter().sum::<usize>(), TARGET.subscribers);
    assert!(topology.zone_subscribers.iter().all(|count| (443..=444).contains(count)));
    assert_eq!((topology.region_relays().count(), topology.zone_relays().count()), (11, 32));
    for zone in 0..TARGET.zones {
        let own = topology.relays.iter().filter(|relay| relay.zone == Some(zone));
        assert!(own.clone().all(|relay| relay.region == topology.region_of(zone)));
        assert_eq!(own.count(), 2);
        let first = topology.first_subscriber(zone);
        assert_eq!(topology.zone_of(first), zone);
        assert_eq!(topology.zone_of(first + topology.zone_subscribers[zone] - 1), zone);
    }
    let addresses: HashSet<_> = (0..TARGET.relays).map(|relay| topology.relay_ip(relay)).collect();
    assert_eq!(addresses.len(), TARGET.relays);
}

#[test]
fn too_few_relays_are_refused() {
    assert!(Topology::new(Shape { relays: 21, ..TARGET }, 8).is_err());
    assert!(Topology::new(Shape { relays: 22, ..TARGET }, 8).is_ok());
}

#[test]
fn the_first_table_is_whole_and_the_same_for_a_seed() {
    let resources: Vec<_> = base_resources(SMALL, 5).collect();
    assert_eq!(resources.len(), SMALL.tenants + SMALL.routes + SMALL.classes);
    let keys: HashSet<_> = resources.iter().map(|resource| resource.key()).collect();
    assert_eq!(keys.len(), resources.len());
    assert_eq!(resources, base_resources(SMALL, 5).collect::<Vec<_>>());
    assert_ne!(resources, base_resources(SMALL, 6).collect::<Vec<_>>());
    for changes in base_transactions(SMALL, 5) {
        check(&changes).unwrap();
        assert!(changes.iter().filter_map(sequence_of).all(|sequence| sequence == 0));
    }
}

#[test]
fn planned_transactions_are_valid_and_carry_their_sequence() {
    let planned = planned_transactions(SMALL, 5, 200);
    assert_eq!(planned, planned_transactions(SMALL, 5, 200));
    assert_eq!(planned.iter().filter(|transaction| transaction.refused).count(), 5);
    for (index, transaction) in planned.iter().enumerate() {
        assert_eq!(transaction.sequence, index as u64 + 1);
        check(&transaction.changes).unwrap();
        let sequences: Vec<u64> = transaction.changes.iter().filter_map(sequence_of).collect();
        assert!(!sequences.is_empty(), "transaction {} changes routes only", transaction.sequence);
        assert!(sequences.iter().all(|&sequence| sequence == transaction.sequence));
    }
}

#[test]
fn every_refused_transaction_is_repaired() {
    for count in [10, 17, 18, 60, 480] {
        let planned = planned_transactions(SMALL, 5, count);
        for (index, refused) in planned.iter().enumerate().filter(|(_, planned)| planned.refused) {
            let keys: Vec<_> = refused.changes.iter().map(|change| change.key()).collect();
            let touching = |transaction: &&_| {
                let transaction: &dunlinspread_scale::propagation::changes::PlannedTransaction = transaction;
                transaction.changes.iter().any(|change| keys.contains(&change.key()))
            };
            let repair = planned[index + 1..].iter().find(touching).unwrap();
            assert!(!repair.refused);
            assert_eq!(repair.changes.iter().map(|change| change.key()).collect::<Vec<_>>(), keys);
        }
    }
}

#[test]
fn every_kind_of_fault_happens_and_ends() {
    let topology = Topology::new(SMALL, 8).unwrap();
    for seed in 0..50 {
        let steps = schedule(&topology, seed, 30_000);
        assert_eq!(steps, schedule(&topology, seed, 30_000));
        assert!(steps.iter().all(|step| step.at_ms < 30_000), "seed {seed}");
        let count = |wanted: fn(&Step) -> bool| steps.iter().filter(|step| wanted(&step.step)).count();
        let pairs = [
            (
                count(|step| matches!(step, Step::KillRelay(_))),
                count(|step| matches!(step, Step::StartRelay(_))),
            ),
            (
                count(|step| matches!(step, Step::PauseRelay(_))),
                count(|step| matches!(step, Step::ResumeRelay(_))),
            ),
            (
                count(|step| matches!(step, Step::CutRegion(..))),
                count(|step| matches!(step, Step::HealRegion(_))),
            ),
            (
                count(|step| matches!(step, Step::KillZone(_))),
                count(|step| matches!(step, Step::StartZone(_))),
            ),
            (count(|step| *step == Step::KillPublisher), count(|step| *step == Step::StartPublisher)),
        ];
        assert_eq!(pairs, [(2, 2), (2, 2), (2, 2), (1, 1), (1, 1)], "seed {seed}");
        assert_eq!(count(|step| matches!(step, Step::SendGarbage(_))), 2, "seed {seed}");
        assert_eq!(count(|step| matches!(step, Step::DamageLinks(..))), 2, "seed {seed}");
        assert_eq!(fault_count(&topology), 12);
    }
}

#[test]
fn proposals_have_two_bursts_and_last_long_enough() {
    let times = proposal_times_ms(480, 5.0, 0);
    assert_eq!(times.len(), 480);
    let gaps: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let in_burst = gaps.iter().filter(|&&gap| gap <= 40).count();
    assert!((140..=146).contains(&in_burst), "{in_burst} gaps of a burst");
    assert!(gaps.iter().all(|&gap| gap <= 40 || gap >= 199));
    let stretched = proposal_times_ms(60, 20.0, 30_000);
    assert!(stretched.last().is_some_and(|&last| (28_000..30_000).contains(&last)));
}

#[test]
fn bytes_on_the_wire_count_a_segment_and_an_acknowledgement_for_each_frame() {
    let earlier = Traffic { bytes_in: 1_000, bytes_out: 100, frames: 10, snapshots: 1, bad_frames: 0 };
    let later = Traffic { bytes_in: 1_500, bytes_out: 200, frames: 13, snapshots: 1, bad_frames: 2 };
    assert_eq!(later.since(earlier).wire_bytes(), 500 + 100 + 3 * 2 * 66);
}
