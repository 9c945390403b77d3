//! Results of a simulation run.

use hdrhistogram::Histogram;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Results of a simulation run; equal for equal seeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub seed: u64,
    pub subscribers: usize,
    pub relays: usize,
    pub changes: u64,
    /// Median time until a change was in force at a subscriber, from the proposal or, if later, from when the
    /// subscriber became reachable.
    pub in_force_ms_p50: u64,
    pub in_force_ms_p99: u64,
    pub in_force_ms_max: u64,
    /// Longest time from the end of a cut or the restart of a process until a subscriber had the changes
    /// published by then.
    pub heal_ms_max: u64,
    pub measured: u64,
    /// Changes that subscribers had not confirmed at the end, summed over the subscribers.
    pub lost: u64,
    pub reordered: u64,
    pub torn: u64,
    /// Subscribers whose table differs from the publisher's at the end.
    pub diverged: u64,
    pub regressed: u64,
    /// Updates with a position that was not durable.
    pub not_durable: u64,
    /// Subscribers that reported too low an age at the end of a cut.
    pub age_understated: u64,
    /// Events in the last 15 s at which the publisher had not known for more than the limit that all changes
    /// are in force in all zones.
    pub zones_not_known: u64,
    pub faults: Vec<String>,
    pub snapshots: u64,
    pub events: u64,
    pub bytes: u64,
    /// Digest of all updates with their times, in order.
    pub digest: u64,
}

/// Distribution of the times until changes were in force.
pub struct Times {
    histogram: Histogram<u32>,
}

impl Times {
    pub fn new() -> Times {
        Times { histogram: Histogram::new(3).expect("three significant digits are valid") }
    }

    pub fn record(&mut self, ms: u64) {
        self.histogram.record(ms).expect("the histogram resizes itself");
    }

    pub fn fill(&self, report: &mut Report) {
        report.measured = self.histogram.len();
        report.in_force_ms_p50 = self.histogram.value_at_quantile(0.5);
        report.in_force_ms_p99 = self.histogram.value_at_quantile(0.99);
        report.in_force_ms_max = self.histogram.max();
    }
}

impl Report {
    /// Adds an update to the digest.
    pub fn add_to_digest(&mut self, values: [u64; 3]) {
        let mut bytes = [0; 24];
        for (chunk, value) in bytes.chunks_exact_mut(8).zip(values) {
            chunk.copy_from_slice(&value.to_le_bytes());
        }
        self.digest = xxh3_64_with_seed(&bytes, self.digest);
    }

    /// Describes the run if any check failed or a change took `limit_ms` or longer to be in force.
    pub fn failure(&self, limit_ms: u64) -> Option<String> {
        let violations = [
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
        (slow || violations != [0; 8]).then(|| format!("seed {}: {self:#?}", self.seed))
    }
}
