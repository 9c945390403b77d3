//! The outcomes of attempts and the latencies of completed requests.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum latency that is recorded, µs; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Outcome of an attempt, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// Completed within the latency objective.
    Completed,
    /// Completed after the latency objective.
    Late,
    /// Rejected by the server.
    Rejected,
    /// Answered with an error.
    Failed,
    /// The client gave up and sent a withdrawal to the server.
    Withdrawn,
    /// Sent, but the connection ended without an answer.
    Cut,
    /// Not sent, because no connection was available.
    Unsent,
}

impl AttemptOutcome {
    /// All outcomes, in the order of their discriminants.
    pub const ALL: [AttemptOutcome; 7] = [
        AttemptOutcome::Completed,
        AttemptOutcome::Late,
        AttemptOutcome::Rejected,
        AttemptOutcome::Failed,
        AttemptOutcome::Withdrawn,
        AttemptOutcome::Cut,
        AttemptOutcome::Unsent,
    ];

    /// Returns whether a client with retries left retries after this outcome.
    pub(crate) fn is_retryable(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::Failed | AttemptOutcome::Cut | AttemptOutcome::Unsent
        )
    }
}

/// Number of attempts by outcome, in the order of [`AttemptOutcome::ALL`].
pub type OutcomeCounts = [u64; AttemptOutcome::ALL.len()];

/// Counters of the clients.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Number of attempts by class index and tenant.
    pub counts: BTreeMap<(usize, Option<String>), OutcomeCounts>,
    /// Latencies of completed requests by class index, µs; `None` for a class without completed requests.
    pub latency: Vec<Option<Histogram<u64>>>,
    /// Number of completed requests with a result other than the expected one.
    pub wrong_results: u64,
    /// Number of answers to requests that had already been answered.
    pub duplicate_answers: u64,
    /// Maximum delay between the due time of a request and its sending, ms.
    pub max_send_delay_ms: f64,
}

impl Tally {
    /// Returns an empty tally for this number of classes.
    pub(crate) fn new(classes: usize) -> Tally {
        Tally { latency: vec![None; classes], ..Tally::default() }
    }

    /// Returns the sum of the counts over all classes and tenants for which `includes` returns true.
    pub fn sum(&self, includes: impl Fn(usize, Option<&str>) -> bool) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for ((class, tenant), counts) in &self.counts {
            if includes(*class, tenant.as_deref()) {
                sum.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
        }
        sum
    }

    /// Counts an attempt; `latency` is the time since the due time of its request.
    pub(crate) fn count(
        &mut self,
        class: usize,
        tenant: Option<&str>,
        outcome: AttemptOutcome,
        latency: Duration,
    ) {
        let counts = self.counts.entry((class, tenant.map(str::to_owned))).or_default();
        counts[outcome as usize] += 1;
        if matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::Late) {
            self.record_latency(class, latency);
        }
    }

    fn record_latency(&mut self, class: usize, latency: Duration) {
        let histogram = &mut self.latency[class];
        if histogram.is_none() {
            *histogram = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).ok();
        }
        if let Some(histogram) = histogram {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }
}
