//! The verdict on a run, derived only from what each subscriber had in force.
//!
//! | fault | meaning |
//! | --- | --- |
//! | lost | at the end a reachable subscriber does not have a change in force that it did not refuse |
//! | reordered | a value was put in force after one of a later change |
//! | torn | the digest in force at a position differs from that of the publisher's table there |
//! | diverged | the digest of the whole table at the end, computed anew, differs from the publisher's |
//! | regressed | a position was put in force after a later one |
//!
//! For the zone that refuses some transactions, the publisher's table means that table without these
//! transactions.

use super::history::History;
use super::outage::{Cause, Outage};
use super::record::Observation;
use dunlinspread_config_sync::resource::{Digest, Position};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest value of the latency histogram, ms.
const MAX_LATENCY_MS: u64 = 600_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;
/// Maximum number of faults that are described; further ones are only counted.
const MAX_EXPLAINED_FAULTS: usize = 12;

/// A change that was put in force at a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Delivery {
    /// Time from the proposal until the change was in force, ms.
    pub latency_ms: u64,
    /// Sequence number of the change.
    pub sequence: u64,
    /// Time of the proposal, Unix ms.
    pub published_unix_ms: u64,
    /// Number of the subscriber over all zones.
    pub subscriber: usize,
    /// Zone of the subscriber.
    pub zone: usize,
}

/// The result of judging a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Time from the proposal of an accepted change until it was in force, ms, for each change at each
    /// reachable subscriber.
    pub latency_ms: Histogram<u64>,
    /// Delivery with the highest latency.
    pub slowest: Option<Delivery>,
    /// Longest time from the end of an outage until all changes accepted before that end were in force, ms.
    pub heal_ms: u64,
    /// Longest time from the start of a zone's process until all changes accepted before the end of its
    /// outage were in force, ms.
    pub cold_zone_ms: u64,
    /// Number of changes missing at subscribers, summed over the subscribers.
    pub lost: u64,
    /// Number of updates with a value older than one applied before.
    pub reordered: u64,
    /// Number of updates after which the table differed from the publisher's.
    pub torn: u64,
    /// Number of subscribers whose whole table differs from the publisher's at the end.
    pub diverged: u64,
    /// Number of updates to an earlier position.
    pub regressed: u64,
    /// Number of checked updates.
    pub updates: u64,
    /// Descriptions of the first faults.
    pub faults: Vec<String>,
}

impl Default for Verdict {
    fn default() -> Self {
        let latency_ms =
            Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS).expect("the histogram bounds are valid");
        Verdict {
            latency_ms,
            slowest: None,
            heal_ms: 0,
            cold_zone_ms: 0,
            lost: 0,
            reordered: 0,
            torn: 0,
            diverged: 0,
            regressed: 0,
            updates: 0,
            faults: Vec::new(),
        }
    }
}

impl Verdict {
    /// Returns whether no change was lost and no update or table was reordered, torn, diverged or regressed.
    pub fn is_clean(&self) -> bool {
        self.lost + self.reordered + self.torn + self.diverged + self.regressed == 0
    }

    fn explain(&mut self, fault: impl FnOnce() -> String) {
        if self.faults.len() < MAX_EXPLAINED_FAULTS {
            self.faults.push(fault());
        }
    }
}

/// Judges a run, one subscriber at a time.
pub struct Judge<'run> {
    history: &'run History,
    outages: &'run [Outage],
    ended_unix_ms: u64,
    verdict: Verdict,
}

impl<'run> Judge<'run> {
    /// Creates a judge for a run that ended at `ended_unix_ms`.
    pub fn new(history: &'run History, outages: &'run [Outage], ended_unix_ms: u64) -> Judge<'run> {
        Judge { history, outages, ended_unix_ms, verdict: Verdict::default() }
    }

    /// Judges a subscriber by its observations, given for each incarnation of its process in order.
    pub fn subscriber(&mut self, subscriber: usize, zone: usize, incarnations: &[Vec<Observation>]) {
        let mut applied = Applied::new(self.history.accepted.len());
        for incarnation in incarnations {
            let mut previous: Option<Observation> = None;
            let mut greatest_sequence = None;
            for observation in incarnation {
                self.verdict.updates += 1;
                self.check_order(previous, greatest_sequence, observation);
                self.check_digest(zone, observation);
                if let Some(index) = self.history.index_of(observation.position) {
                    applied.advance(index, observation.at_unix_ms);
                }
                greatest_sequence = greatest_sequence.max(observation.greatest_sequence);
                previous = Some(*observation);
            }
        }
        self.measure_latencies(subscriber, zone, &applied);
        self.measure_heals(zone, &applied);
        self.count_lost(subscriber, zone, &applied);
    }

    /// Judges the whole table that a subscriber had in force at the end of the run.
    pub fn final_table(&mut self, subscriber: usize, zone: usize, position: Position, digest: Digest) {
        let head = self.history.head();
        let expected = self.history.expected(zone, self.history.accepted.len());
        if position != head || digest != expected {
            self.verdict.diverged += 1;
            self.verdict
                .explain(|| format!("diverged: subscriber {subscriber} ends at {position:?}, head {head:?}"));
        }
    }

    /// Records a subscriber that reported no table at the end.
    pub fn no_final_table(&mut self, subscriber: usize) {
        self.verdict.diverged += 1;
        self.verdict.explain(|| format!("diverged: subscriber {subscriber} has no table at the end"));
    }

    /// Returns the verdict.
    pub fn into_verdict(self) -> Verdict {
        self.verdict
    }

    fn check_order(
        &mut self,
        previous: Option<Observation>,
        greatest_sequence: Option<u64>,
        observation: &Observation,
    ) {
        let Observation { subscriber, position, .. } = *observation;
        if let Some(previous) = previous.filter(|previous| position < previous.position) {
            self.verdict.regressed += 1;
            self.verdict.explain(|| {
                format!("regressed: subscriber {subscriber} to {position:?} after {:?}", previous.position)
            });
        }
        let Some(greatest) = greatest_sequence else { return };
        if observation.least_sequence.is_some_and(|least| least <= greatest) {
            self.verdict.reordered += 1;
            self.verdict.explain(|| {
                let least = observation.least_sequence;
                format!("reordered: subscriber {subscriber} at {position:?}: {least:?} after {greatest}")
            });
        }
    }

    fn check_digest(&mut self, zone: usize, observation: &Observation) {
        let expected =
            self.history.index_of(observation.position).map(|index| self.history.expected(zone, index));
        if expected != Some(observation.digest) {
            self.verdict.torn += 1;
            self.verdict.explain(|| {
                let Observation { subscriber, position, initial, .. } = *observation;
                let at_start = if initial { " as it began" } else { "" };
                format!("torn: subscriber {subscriber} of zone {zone} at {position:?}{at_start}")
            });
        }
    }

    fn measure_latencies(&mut self, subscriber: usize, zone: usize, applied: &Applied) {
        for (accepted, applied_unix_ms) in self.history.accepted.iter().zip(&applied.times) {
            let Some(applied_unix_ms) = *applied_unix_ms else { continue };
            if self.history.is_refused(zone, accepted)
                || self.overlaps_outage(zone, accepted.at_unix_ms, applied_unix_ms)
            {
                continue;
            }
            let latency_ms = applied_unix_ms.saturating_sub(accepted.at_unix_ms);
            self.verdict.latency_ms.saturating_record(latency_ms);
            let (sequence, published_unix_ms) = (accepted.sequence, accepted.at_unix_ms);
            let delivery = Delivery { latency_ms, sequence, published_unix_ms, subscriber, zone };
            self.verdict.slowest = self.verdict.slowest.max(Some(delivery));
        }
    }

    fn overlaps_outage(&self, zone: usize, published_unix_ms: u64, applied_unix_ms: u64) -> bool {
        self.outages
            .iter()
            .any(|outage| outage.zones.contains(&zone) && outage.overlaps(published_unix_ms, applied_unix_ms))
    }

    fn measure_heals(&mut self, zone: usize, applied: &Applied) {
        for outage in self.outages.iter().filter(|outage| outage.zones.contains(&zone)) {
            let Some(until_unix_ms) = outage.until_unix_ms else { continue };
            let published =
                self.history.accepted.partition_point(|change| change.at_unix_ms <= until_unix_ms);
            let at_head = match published.checked_sub(1) {
                Some(last) => applied.times[last].unwrap_or(self.ended_unix_ms),
                None => until_unix_ms,
            };
            self.verdict.heal_ms = self.verdict.heal_ms.max(at_head.saturating_sub(until_unix_ms));
            if let Cause::ProcessDown { started_unix_ms } = outage.cause {
                let cold_ms = at_head.max(until_unix_ms).saturating_sub(started_unix_ms);
                self.verdict.cold_zone_ms = self.verdict.cold_zone_ms.max(cold_ms);
            }
        }
    }

    fn count_lost(&mut self, subscriber: usize, zone: usize, applied: &Applied) {
        let missing = self.history.accepted.iter().zip(&applied.times);
        let lost =
            missing.filter(|(accepted, at)| at.is_none() && !self.history.is_refused(zone, accepted)).count();
        if lost > 0 {
            self.verdict.lost += lost as u64;
            self.verdict
                .explain(|| format!("lost: {lost} changes at subscriber {subscriber} of zone {zone}"));
        }
    }
}

/// Times at which the transactions came in force at one subscriber.
struct Applied {
    times: Vec<Option<u64>>,
    count: usize,
}

impl Applied {
    fn new(transactions: usize) -> Applied {
        Applied { times: vec![None; transactions], count: 0 }
    }

    /// Records that all transactions before `index` are in force at `at_unix_ms`.
    fn advance(&mut self, index: usize, at_unix_ms: u64) {
        for time in self.times.iter_mut().take(index).skip(self.count) {
            *time = Some(at_unix_ms);
        }
        self.count = self.count.max(index);
    }
}
