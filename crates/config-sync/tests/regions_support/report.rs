//! What was found.

use hdrhistogram::Histogram;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The result of a day; equal for equal seeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub seed: u64,
    pub subscribers: usize,
    pub relays: usize,
    pub changes: u64,
    /// From the proposal, or from when a subscriber could be reached, until it was in force there.
    pub in_force_ms_p50: u64,
    pub in_force_ms_p99: u64,
    pub in_force_ms_max: u64,
    /// From when a cut was healed or a process was back until a subscriber had what was published then.
    pub heal_ms_max: u64,
    pub measured: u64,
    /// Changes that were not in force at the end.
    pub lost: u64,
    pub reordered: u64,
    pub torn: u64,
    /// Subscribers whose table differs from the publisher's at the end.
    pub diverged: u64,
    pub regressed: u64,
    /// Updates of a position that was not durable.
    pub not_durable: u64,
    /// Subscribers that said, at the end of a cut, that they were up to date during it.
    pub age_understated: u64,
    /// Looks, over the last 15 s, at which the publisher had not known for too long that all is in force in
    /// all zones.
    pub zones_not_known: u64,
    pub faults: Vec<String>,
    pub snapshots: u64,
    pub events: u64,
    pub bytes: u64,
    /// Of all updates with their times, in order.
    pub digest: u64,
}

/// Times until in force.
pub struct Times {
    histogram: Histogram<u32>,
}

impl Times {
    pub fn new() -> Times {
        Times { histogram: Histogram::new(3).expect("three digits") }
    }

    pub fn record(&mut self, ms: u64) {
        self.histogram.record(ms).expect("a histogram that grows");
    }

    pub fn fill(&self, report: &mut Report) {
        report.measured = self.histogram.len();
        report.in_force_ms_p50 = self.histogram.value_at_quantile(0.5);
        report.in_force_ms_p99 = self.histogram.value_at_quantile(0.99);
        report.in_force_ms_max = self.histogram.max();
    }
}

impl Report {
    /// Takes one more thing into the digest.
    pub fn mix(&mut self, values: [u64; 3]) {
        let mut bytes = [0; 24];
        for (chunk, value) in bytes.chunks_exact_mut(8).zip(values) {
            chunk.copy_from_slice(&value.to_le_bytes());
        }
        self.digest = xxh3_64_with_seed(&bytes, self.digest);
    }

    /// What is wrong, if anything.
    pub fn faults_found(&self, limit_ms: u64) -> Option<String> {
        let wrong = [
            self.lost,
            self.reordered,
            self.torn,
            self.diverged,
            self.regressed,
            self.not_durable,
            self.zones_not_known,
            self.age_understated,
        ];
        let slow = self.in_force_ms_max >= limit_ms;
        (slow || wrong != [0; 8]).then(|| format!("seed {}: {self:#?}", self.seed))
    }
}
