//! Counts of the actions and cases that occur in the streams.

use super::module::{Input, Output};
use super::play::Step;
use std::collections::BTreeMap;

/// Minimum number of occurrences of each case over all long streams. The controller writes no log, and
/// preempts nothing if preemption is off, so these cases are missing.
pub const MINIMA: [(&str, u64); 99] = [
    ("action: call", 11000),
    ("action: fail", 780),
    ("action: forget", 3200),
    ("action: health", 99),
    ("action: idle limit", 480),
    ("action: keep", 7500),
    ("action: preempt", 280),
    ("action: refuse", 8300),
    ("action: refuse, last", 14000),
    ("action: reuse", 2600),
    ("action: run", 23000),
    ("action: share", 1600),
    ("action: skip call", 830),
    ("action: timer", 21000),
    ("arrival: absurd number", 290),
    ("arrival: deadline stated", 35000),
    ("arrival: marked as a retry", 5300),
    ("arrival: no deadline", 14000),
    ("call with a share: cut off", 31),
    ("call with a share: error", 29),
    ("call with a share: ok", 1100),
    ("call with a share: refused", 35),
    ("call with a share: timed out", 49),
    ("call with a share: unreachable", 35),
    ("call without a share: cut off", 240),
    ("call without a share: error", 250),
    ("call without a share: ok", 8400),
    ("call without a share: refused", 330),
    ("call without a share: timed out", 73),
    ("call without a share: unreachable", 300),
    ("threshold: arrival rejected", 7500),
    ("threshold: falls", 6500),
    ("threshold: rises", 6900),
    ("drain: arrival after the grace", 250),
    ("drain: arrival at the end of the grace", 5),
    ("drain: arrival in the grace", 25),
    ("drain: grace", 1),
    ("drain: no grace", 1),
    ("duplicate: prior ended", 1400),
    ("duplicate: prior forgotten", 200),
    ("duplicate: prior queued", 170),
    ("duplicate: prior running", 160),
    ("event: unknown id, class or token", 1200),
    ("gauges: absurd", 510),
    ("gauges: all missing", 180),
    ("gauges: other work", 670),
    ("gauges: some missing", 720),
    ("gone: at a call", 850),
    ("gone: at the start of a run", 160),
    ("gone: paused", 11),
    ("gone: queued", 2100),
    ("gone: reusing", 33),
    ("gone: running", 1500),
    ("health: bad", 28),
    ("health: good again", 26),
    ("level: 0 to 1", 330),
    ("level: 1 to 0", 320),
    ("level: 1 to 2", 260),
    ("level: 2 to 1", 240),
    ("level: 2 to 3", 200),
    ("level: 3 to 2", 200),
    ("preempt: abort", 200),
    ("preempt: suspend", 79),
    ("read: prior ended", 660),
    ("read: prior forgotten", 2800),
    ("read: prior queued", 340),
    ("read: prior running", 150),
    ("read: prior stale", 44),
    ("read: result shared", 930),
    ("reconfigured: absurd quota", 32),
    ("reconfigured: class limit", 48),
    ("reconfigured: limit lifted", 20),
    ("reconfigured: quota", 38),
    ("reconfigured: tenant removed", 13),
    ("rule: answered while in progress", 1400),
    ("rule: duplicate not run", 1600),
    ("rule: queued behind full cores", 81000),
    ("rule: refused for memory", 1300),
    ("run: all hang", 19000),
    ("run: fails with all others", 250),
    ("run: hung alone", 7000),
    ("run: paused", 320),
    ("run: resumed", 310),
    ("run: stopped unasked", 54),
    ("run: too late to start", 37),
    ("settings: NaN", 1),
    ("settings: class with absurd times", 3),
    ("settings: cold start", 7),
    ("settings: infinite", 1),
    ("settings: negative", 1),
    ("settings: no preemption", 35),
    ("settings: preemption by abort", 5),
    ("settings: preemption by suspension", 2),
    ("tenant: arrival in its flood", 3700),
    ("tenant: refused in its flood", 730),
    ("tenant: unknown", 13000),
    ("timer: absent for seconds", 16),
    ("timer: late", 260),
    ("timer: never again", 1),
];

/// Counts of cases over the steps of streams.
#[derive(Default)]
pub struct Cases {
    counts: BTreeMap<&'static str, u64>,
    level: usize,
    priority_threshold: f64,
}

impl Cases {
    pub fn count(&mut self, case: &'static str) {
        *self.counts.entry(case).or_insert(0) += 1;
    }

    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    pub fn merge(&mut self, other: &Cases) {
        for (case, count) in &other.counts {
            *self.counts.entry(case).or_insert(0) += count;
        }
    }

    /// Counts the cases that follow from a step alone.
    pub fn watch(&mut self, step: &Step) {
        match (self.level, step.level) {
            (0, 1) => self.count("level: 0 to 1"),
            (1, 2) => self.count("level: 1 to 2"),
            (2, 3) => self.count("level: 2 to 3"),
            (3, 2) => self.count("level: 3 to 2"),
            (2, 1) => self.count("level: 2 to 1"),
            (1, 0) => self.count("level: 1 to 0"),
            _ => {}
        }
        if step.priority_threshold > self.priority_threshold {
            self.count("threshold: rises");
        } else if step.priority_threshold < self.priority_threshold {
            self.count("threshold: falls");
        }
        (self.level, self.priority_threshold) = (step.level, step.priority_threshold);
        for output in &step.outputs {
            self.count(action(output));
            if let (Input::Timer { .. }, Output::Health(good)) = (&step.input, output) {
                self.count(if *good { "health: good again" } else { "health: bad" });
            }
        }
    }
}

fn action(output: &Output) -> &'static str {
    match output {
        Output::Run(_) => "action: run",
        Output::Reject { no_retry: true, .. } => "action: refuse, last",
        Output::Reject { no_retry: false, .. } => "action: refuse",
        Output::Fail(_) => "action: fail",
        Output::Reuse(_) => "action: reuse",
        Output::Preempt(_) => "action: preempt",
        Output::ReserveKey { .. } => "action: keep",
        Output::ReleaseKey(_) => "action: forget",
        Output::Call { .. } => "action: call",
        Output::SkipCall(_) => "action: skip call",
        Output::Share(_) => "action: share",
        Output::Health(_) => "action: health",
        Output::IdleTimeout(_) => "action: idle limit",
        Output::Timer { .. } => "action: timer",
        Output::Log(_) => "action: log",
    }
}
