//! What became of attempts, and their latencies.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest latency that is told from longer ones, µs.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// Completed within the latency objective.
    Completed,
    /// Completed after it.
    Late,
    /// Rejected by the server.
    Rejected,
    /// Answered with an error.
    Failed,
    /// The client gave up and told the server.
    Withdrawn,
    /// Sent, and the connection ended without an answer.
    Cut,
    /// Never sent: there was no connection to be had.
    Unsent,
}

impl AttemptOutcome {
    /// All of them, in order.
    pub const ALL: [AttemptOutcome; 7] = [
        AttemptOutcome::Completed,
        AttemptOutcome::Late,
        AttemptOutcome::Rejected,
        AttemptOutcome::Failed,
        AttemptOutcome::Withdrawn,
        AttemptOutcome::Cut,
        AttemptOutcome::Unsent,
    ];

    /// Returns whether a client that may retry does so.
    pub(crate) fn is_retryable(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::Failed | AttemptOutcome::Cut | AttemptOutcome::Unsent
        )
    }
}

/// Attempts by outcome, in the order of [`AttemptOutcome::ALL`].
pub type OutcomeCounts = [u64; AttemptOutcome::ALL.len()];

/// What the clients counted.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Attempts by class, by its index, and tenant.
    pub counts: BTreeMap<(usize, Option<String>), OutcomeCounts>,
    /// The latency of completed requests, µs, by class.
    pub latency: Vec<Option<Histogram<u64>>>,
    /// Completed requests whose result is not what a run makes of them.
    pub wrong_results: u64,
    /// Second answers to one request.
    pub duplicate_answers: u64,
    /// The furthest that a request was sent behind its time, ms.
    pub max_send_delay_ms: f64,
}

impl Tally {
    /// Returns an empty tally for that number of classes.
    pub(crate) fn new(classes: usize) -> Tally {
        Tally { latency: vec![None; classes], ..Tally::default() }
    }

    /// Returns the sum over all classes and tenants that `includes` selects.
    pub fn sum(&self, includes: impl Fn(usize, Option<&str>) -> bool) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for ((class, tenant), counts) in &self.counts {
            if includes(*class, tenant.as_deref()) {
                sum.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
        }
        sum
    }

    /// Counts an attempt; `latency` is the time since its request was due.
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
