//! The verdict of `propagation` detects each fault that is put into the records, and none in faultless
//! records.

use dunlinspread_config_sync::resource::{Digest, Position};
use dunlinspread_config_sync::table::Table;
use dunlinspread_scale::propagation::changes::planned_transactions;
use dunlinspread_scale::propagation::dataset::base_transactions;
use dunlinspread_scale::propagation::history::{History, Replay};
use dunlinspread_scale::propagation::judge::{Judge, Verdict};
use dunlinspread_scale::propagation::outage::{Cause, Outage};
use dunlinspread_scale::propagation::record::{Observation, ObservationWriter, read_observations};
use dunlinspread_scale::propagation::topology::Shape;

const SHAPE: Shape =
    Shape { subscribers: 4, relays: 4, tenants: 200, routes: 50, classes: 8, regions: 1, zones: 2 };
const SEED: u64 = 7;
const BASE: Position = Position { epoch: 3, revision: 1 };
const CHANGES: u64 = 30;
const PLAIN_ZONE: usize = 0;
const REFUSING_ZONE: usize = 1;
/// Time of the first proposed change, and time between two changes.
const BEGIN_MS: u64 = 1_000;
const GAP_MS: u64 = 100;
/// Time from the publication of a change until it is in force.
const DELAY_MS: u64 = 40;
const ENDED_MS: u64 = 60_000;

fn published_ms(index: usize) -> u64 {
    BEGIN_MS + GAP_MS * index as u64
}

fn history() -> History {
    let mut table = Table::new();
    base_transactions(SHAPE, SEED).for_each(|changes| table.apply(&changes));
    let mut replay = Replay::new(BASE, table, REFUSING_ZONE);
    let mut position = BASE;
    for (index, planned) in planned_transactions(SHAPE, SEED, CHANGES).iter().enumerate() {
        position = position.next();
        replay.accept(position, published_ms(index), planned);
    }
    replay.history().clone()
}

/// Returns the records of a subscriber that puts each change in force after the same delay.
fn observations(history: &History, zone: usize) -> Vec<Observation> {
    (0..=history.accepted.len())
        .map(|index| Observation {
            subscriber: 0,
            initial: index == 0,
            position: Position { revision: BASE.revision + index as u64, ..BASE },
            digest: history.expected(zone, index),
            at_unix_ms: index.checked_sub(1).map_or(0, |before| published_ms(before) + DELAY_MS),
            least_sequence: (index > 0).then_some(index as u64),
            greatest_sequence: (index > 0).then_some(index as u64),
        })
        .collect()
}

fn judged(history: &History, outages: &[Outage], zone: usize, incarnations: &[Vec<Observation>]) -> Verdict {
    let mut judge = Judge::new(history, outages, ENDED_MS);
    judge.subscriber(0, zone, incarnations);
    judge.into_verdict()
}

/// Returns the counters in the order lost, reordered, torn, diverged, regressed.
fn counters(verdict: &Verdict) -> [u64; 5] {
    [verdict.lost, verdict.reordered, verdict.torn, verdict.diverged, verdict.regressed]
}

#[test]
fn a_faultless_record_is_clean() {
    let history = history();
    assert!(history.accepted.iter().any(|accepted| accepted.refused), "the plan has a refused transaction");
    for zone in [PLAIN_ZONE, REFUSING_ZONE] {
        let verdict = judged(&history, &[], zone, &[observations(&history, zone)]);
        assert!(verdict.is_clean(), "{:?}", verdict.faults);
        assert_eq!(verdict.latency_ms.max(), DELAY_MS);
        let refused = history.accepted.iter().filter(|accepted| history.is_refused(zone, accepted)).count();
        assert_eq!(verdict.latency_ms.len(), CHANGES - refused as u64);
    }
}

#[test]
fn a_refused_transaction_in_force_is_torn() {
    let history = history();
    // A server of the refusing zone has a transaction in force that it had to refuse.
    let verdict = judged(&history, &[], REFUSING_ZONE, &[observations(&history, PLAIN_ZONE)]);
    assert!(verdict.torn > 0);
    // A server of another zone lacks a transaction that it had to apply.
    let verdict = judged(&history, &[], PLAIN_ZONE, &[observations(&history, REFUSING_ZONE)]);
    assert!(verdict.torn > 0);
}

#[test]
fn changes_that_never_came_are_lost() {
    let history = history();
    let mut observations = observations(&history, PLAIN_ZONE);
    observations.truncate(observations.len() - 3);
    assert_eq!(counters(&judged(&history, &[], PLAIN_ZONE, &[observations])), [3, 0, 0, 0, 0]);
    let nothing = judged(&history, &[], PLAIN_ZONE, &[Vec::new()]);
    assert_eq!(counters(&nothing), [CHANGES, 0, 0, 0, 0]);
}

#[test]
fn a_wrong_digest_is_torn() {
    let history = history();
    let mut observations = observations(&history, PLAIN_ZONE);
    observations[5].digest = Digest(observations[5].digest.0 ^ 1);
    assert_eq!(counters(&judged(&history, &[], PLAIN_ZONE, &[observations])), [0, 0, 1, 0, 0]);
}

#[test]
fn a_position_that_never_was_is_torn() {
    let history = history();
    let mut observations = observations(&history, PLAIN_ZONE);
    observations[5].position.epoch += 1;
    let verdict = judged(&history, &[], PLAIN_ZONE, &[observations]);
    assert_eq!(verdict.torn, 1);
}

#[test]
fn an_older_value_after_a_newer_one_is_reordered() {
    let history = history();
    let mut observations = observations(&history, PLAIN_ZONE);
    observations[6].least_sequence = Some(2);
    assert_eq!(counters(&judged(&history, &[], PLAIN_ZONE, &[observations])), [0, 1, 0, 0, 0]);
}

#[test]
fn an_earlier_position_after_a_later_one_is_regressed() {
    let history = history();
    let mut observations = observations(&history, PLAIN_ZONE);
    let earlier = Observation { least_sequence: None, greatest_sequence: None, ..observations[4] };
    observations.insert(7, earlier);
    assert_eq!(counters(&judged(&history, &[], PLAIN_ZONE, &[observations])), [0, 0, 0, 0, 1]);
}

#[test]
fn another_table_at_the_end_is_diverged() {
    let history = history();
    let head = history.head();
    let expected = history.expected(PLAIN_ZONE, history.accepted.len());
    let mut judge = Judge::new(&history, &[], ENDED_MS);
    judge.final_table(0, PLAIN_ZONE, head, expected);
    judge.final_table(1, PLAIN_ZONE, head, Digest(expected.0 ^ 1));
    judge.final_table(2, PLAIN_ZONE, BASE, expected);
    judge.no_final_table(3);
    assert_eq!(judge.into_verdict().diverged, 3);
}

#[test]
fn changes_of_an_outage_count_to_the_heal_alone() {
    let history = history();
    let (from, until) = (published_ms(10) - 1, published_ms(15) + 1);
    let heal_ms = 70;
    let mut observations = observations(&history, PLAIN_ZONE);
    // No change comes into force during the outage. Afterwards all of them do at once, including those
    // published during the outage.
    observations.retain(|observation| !(from..until + heal_ms).contains(&observation.at_unix_ms));
    let index = observations.iter().position(|observation| observation.at_unix_ms > until).unwrap_or(0);
    let caught_up = Observation { at_unix_ms: until + heal_ms, ..observations[index] };
    observations[index] = Observation { least_sequence: Some(11), ..caught_up };
    let cut =
        |cause| [Outage { zones: vec![PLAIN_ZONE], cause, from_unix_ms: from, until_unix_ms: Some(until) }];

    let verdict = judged(&history, &cut(Cause::RegionCut), PLAIN_ZONE, &[observations.clone()]);
    assert!(verdict.is_clean(), "{:?}", verdict.faults);
    assert_eq!((verdict.heal_ms, verdict.cold_zone_ms), (heal_ms, 0));
    assert!(verdict.latency_ms.max() <= DELAY_MS, "{}", verdict.latency_ms.max());

    let started_unix_ms = until - 300;
    let down = cut(Cause::ProcessDown { started_unix_ms });
    let verdict = judged(&history, &down, PLAIN_ZONE, &[observations.clone()]);
    assert_eq!((verdict.heal_ms, verdict.cold_zone_ms), (heal_ms, heal_ms + 300));

    // For a zone that was reachable all the time, the same records count as the latency of the changes.
    let elsewhere = [Outage { zones: vec![REFUSING_ZONE], ..cut(Cause::RegionCut)[0].clone() }];
    let verdict = judged(&history, &elsewhere, PLAIN_ZONE, &[observations]);
    assert!(verdict.latency_ms.max() >= until + heal_ms - published_ms(10));
}

#[test]
fn a_restart_begins_a_new_order() {
    let history = history();
    let all = observations(&history, PLAIN_ZONE);
    // The state on disk may be slightly older than the one in force when the process was killed.
    let second_incarnation: Vec<Observation> = all[8..]
        .iter()
        .enumerate()
        .map(|(index, observation)| Observation { initial: index == 0, ..*observation })
        .collect();
    let verdict = judged(&history, &[], PLAIN_ZONE, &[all[..=10].to_vec(), second_incarnation]);
    assert!(verdict.is_clean(), "{:?}", verdict.faults);
}

#[test]
fn records_are_read_as_they_were_written() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("observations");
    let written = observations(&history(), PLAIN_ZONE);
    let mut writer = ObservationWriter::create(&path).unwrap();
    written.iter().for_each(|observation| writer.write(observation).unwrap());
    assert_eq!(read_observations(&path).unwrap(), written);

    // A process killed in the middle of a write leaves an incomplete record.
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    file.set_len(file.metadata().unwrap().len() - 1).unwrap();
    assert_eq!(read_observations(&path).unwrap(), written[..written.len() - 1]);
}
