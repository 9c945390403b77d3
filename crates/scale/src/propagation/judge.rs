//! The verdict on a run, from what each subscriber had in force and from nothing else.
//!
//! | fault | meaning |
//! | --- | --- |
//! | lost | a subscriber that can be reached at the end does not have a change in force, and did not refuse it |
//! | reordered | a value was put in force after one of a later change |
//! | torn | the digest of what was in force at a position is not that of the publisher's table there |
//! | diverged | the whole table at the end, its digest computed anew, is not the publisher's |
//! | regressed | a position was put in force after a later one |
//!
//! The publisher's table means, for the zone that refuses some transactions, that table without them.

use super::history::History;
use super::outage::{Cause, Outage};
use super::record::Observation;
use dunlinspread_config_sync::resource::{Digest, Position};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time that the histogram of latencies tells apart, ms.
const LONGEST_LATENCY_MS: u64 = 600_000;
/// Significant digits of that histogram.
const LATENCY_DIGITS: u8 = 3;
/// Faults that are explained; further ones are only counted.
const EXPLAINED: usize = 12;

/// A change that came in force at a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Delivery {
    /// How long it took, ms.
    pub latency_ms: u64,
    /// Which change.
    pub sequence: u64,
    /// When it was proposed, Unix ms.
    pub published_unix_ms: u64,
    /// The subscriber, by its number over all zones.
    pub subscriber: usize,
    /// Its zone.
    pub zone: usize,
}

/// What was found.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// From acceptance to being in force, ms, for each change at each subscriber that could be reached.
    pub latency_ms: Histogram<u64>,
    /// The one that took longest.
    pub slowest: Option<Delivery>,
    /// The longest time from the end of an outage to having all that was accepted before that end, ms.
    pub heal_ms: u64,
    /// The longest time from the start of a zone's process to the same, ms.
    pub cold_zone_ms: u64,
    /// Changes at subscribers that don't have them.
    pub lost: u64,
    /// Updates with a value older than one applied before.
    pub reordered: u64,
    /// Updates after which the table was not the publisher's.
    pub torn: u64,
    /// Subscribers whose whole table is not the publisher's at the end.
    pub diverged: u64,
    /// Updates to an earlier position.
    pub regressed: u64,
    /// Updates that were looked at.
    pub updates: u64,
    /// Some of the faults in words.
    pub faults: Vec<String>,
}

impl Default for Verdict {
    fn default() -> Self {
        let latency_ms = Histogram::new_with_max(LONGEST_LATENCY_MS, LATENCY_DIGITS)
            .expect("these bounds are those of a histogram");
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
    /// Whether nothing was lost, reordered, torn, diverged or regressed.
    pub fn is_clean(&self) -> bool {
        self.lost + self.reordered + self.torn + self.diverged + self.regressed == 0
    }

    fn explain(&mut self, fault: impl FnOnce() -> String) {
        if self.faults.len() < EXPLAINED {
            self.faults.push(fault());
        }
    }
}

/// Judges subscribers one by one.
pub struct Judge<'run> {
    history: &'run History,
    outages: &'run [Outage],
    ended_unix_ms: u64,
    verdict: Verdict,
}

impl<'run> Judge<'run> {
    /// For a run that ended then.
    pub fn new(history: &'run History, outages: &'run [Outage], ended_unix_ms: u64) -> Judge<'run> {
        Judge { history, outages, ended_unix_ms, verdict: Verdict::default() }
    }

    /// Judges a subscriber by its observations, those of each life of its process in their order.
    pub fn subscriber(&mut self, subscriber: usize, zone: usize, lives: &[Vec<Observation>]) {
        let mut applied = Applied::new(self.history.accepted.len());
        for life in lives {
            let mut previous: Option<Observation> = None;
            let mut greatest_sequence = None;
            for observation in life {
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

    /// Judges the whole table that a subscriber had in force at the end.
    pub fn final_table(&mut self, subscriber: usize, zone: usize, position: Position, digest: Digest) {
        let head = self.history.head();
        let wanted = self.history.expected(zone, self.history.accepted.len());
        if position != head || digest != wanted {
            self.verdict.diverged += 1;
            self.verdict
                .explain(|| format!("diverged: subscriber {subscriber} ends at {position:?}, head {head:?}"));
        }
    }

    /// A subscriber that gave no table at the end.
    pub fn no_final_table(&mut self, subscriber: usize) {
        self.verdict.diverged += 1;
        self.verdict.explain(|| format!("diverged: subscriber {subscriber} has no table at the end"));
    }

    /// What was found.
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
                || self.met_outage(zone, accepted.at_unix_ms, applied_unix_ms)
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

    fn met_outage(&self, zone: usize, published_unix_ms: u64, applied_unix_ms: u64) -> bool {
        self.outages
            .iter()
            .any(|outage| outage.zones.contains(&zone) && outage.meets(published_unix_ms, applied_unix_ms))
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

/// When each transaction came in force at one subscriber.
struct Applied {
    times: Vec<Option<u64>>,
    count: usize,
}

impl Applied {
    fn new(transactions: usize) -> Applied {
        Applied { times: vec![None; transactions], count: 0 }
    }

    /// All transactions before `index` are in force by then.
    fn advance(&mut self, index: usize, at_unix_ms: u64) {
        for time in self.times.iter_mut().take(index).skip(self.count) {
            *time = Some(at_unix_ms);
        }
        self.count = self.count.max(index);
    }
}
