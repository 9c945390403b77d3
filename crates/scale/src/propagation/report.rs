//! What a run prints.

use super::control::Usage;
use super::faults::TimedStep;
use super::judge::{Delivery, Verdict};
use super::topology::Shape;
use serde::Serialize;

/// The longest time in which a change may come in force at a subscriber that can be reached, ms.
pub const IN_FORCE_LIMIT_MS: u64 = 6_000;

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct PropagationReport {
    /// The seed.
    pub seed: u64,
    /// Subscribers.
    pub subscribers: usize,
    /// Relays.
    pub relays: usize,
    /// Real daemons among the subscribers.
    pub daemons: usize,
    /// Memory of the largest daemon, KB.
    pub daemon_kb_max: u64,
    /// Changes that the publisher accepted, as transactions, besides those of the first table.
    pub changes: usize,
    /// From the proposal of a change to its being in force at a subscriber that can be reached: half of all are below.
    pub in_force_ms_p50: u64,
    /// 99 in 100 are below.
    pub in_force_ms_p99: u64,
    /// The longest.
    pub in_force_ms_max: u64,
    /// The longest time from the end of an outage until a subscriber had all that was accepted before that end.
    pub heal_ms_max: u64,
    /// The longest such time of the zone whose subscribers were restarted, from the start of their process.
    pub cold_zone_ms: u64,
    /// Bytes received and sent by a subscriber in a second, on average, on the wire with headers.
    pub bytes_per_second_subscriber: f64,
    /// The same of a relay, on average over the relays.
    pub bytes_per_second_relay: f64,
    /// Part of a core that a subscriber needs, with its part of the recording.
    pub cpu_share_subscriber: f64,
    /// Part of a core that a relay needs, on average.
    pub cpu_share_relay: f64,
    /// The part of a core of the busiest relay.
    pub cpu_share_relay_max: f64,
    /// Memory of a subscriber beyond the table, which the subscribers of a process share, KB: what it takes when it is
    /// connected, and what the process grew by while changes flowed.
    pub kb_per_subscriber: f64,
    /// Memory of a relay, KB, the largest.
    pub kb_relay_max: u64,
    /// Changes at subscribers that don't have them at the end.
    pub lost: u64,
    /// Updates with an older value than one applied before.
    pub reordered: u64,
    /// Updates after which the table was not the publisher's.
    pub torn: u64,
    /// Subscribers whose whole table is not the publisher's at the end.
    pub diverged: u64,
    /// Updates to an earlier position.
    pub regressed: u64,
    /// Transactions of which the publisher heard that subscribers refused them.
    pub refused: usize,
    /// Transactions that one zone's servers had to refuse.
    pub refused_expected: usize,
    /// Connections that subscribers and relays closed for a bad frame.
    pub bad_frames: u64,
    /// Snapshots that subscribers applied.
    pub snapshots: u64,
    /// Faults that happened.
    pub faults: usize,
    /// Their steps in their order.
    pub fault_steps: Vec<FaultLine>,
    /// The change that took longest, and its time in ms after the first.
    pub slowest: Option<(u64, Delivery)>,
    /// Whether all that must hold held.
    pub ok: bool,
    /// What did not.
    pub failures: Vec<String>,
    /// Updates that were judged.
    pub updates: u64,
    /// How long the changes flowed, s.
    pub flow_seconds: f64,
    /// From the start of the publisher's second process until it went on from its store, ms.
    pub publisher_restart_ms: u64,
    /// How long it took until all processes had the first table, s.
    pub start_seconds: f64,
    /// Processes that were there at the same time.
    pub processes: usize,
    /// Resident memory of relays and subscribers together, MB.
    pub memory_mb: u64,
}

/// A step of the faults.
#[derive(Clone, Debug, Serialize)]
pub struct FaultLine {
    /// When, ms after the first change.
    pub at_ms: u64,
    /// What.
    pub step: super::faults::Step,
}

impl From<&TimedStep> for FaultLine {
    fn from(step: &TimedStep) -> Self {
        FaultLine { at_ms: step.at_ms, step: step.step }
    }
}

/// What the processes of one kind used. Those that were started again during the run count for what they met alone:
/// their shares and rates would be those of a start.
#[derive(Clone, Debug, Default)]
pub struct UsageSummary {
    members: f64,
    shares: f64,
    largest_share: f64,
    bytes_per_second: f64,
    kb: f64,
    largest_kb: u64,
    resident_kb: u64,
    bad_frames: u64,
    snapshots: u64,
}

impl UsageSummary {
    /// Adds a process that stands for so many members.
    pub fn add(&mut self, usage: &Usage, members: usize, was_restarted: bool) {
        let traffic = usage.traffic;
        self.bad_frames += traffic.bad_frames;
        self.snapshots += traffic.snapshots;
        self.resident_kb += usage.resident_kb;
        self.largest_kb = self.largest_kb.max(usage.resident_kb);
        if was_restarted {
            return;
        }
        let wall_ms = usage.wall_ms.max(1) as f64;
        let share = usage.cpu_ms / wall_ms;
        self.members += members as f64;
        self.shares += share;
        self.largest_share = self.largest_share.max(share);
        self.bytes_per_second += traffic.wire_bytes() as f64 * 1e3 / wall_ms;
        self.kb += usage.subscribers_kb as f64;
    }

    fn each(&self, total: f64) -> f64 {
        total / self.members.max(1.0)
    }
}

/// What a report is made of besides the verdict.
pub struct Measured {
    /// The seed.
    pub seed: u64,
    /// The sizes.
    pub shape: Shape,
    /// Real daemons.
    pub daemons: usize,
    /// Memory of the largest of them, KB.
    pub daemon_kb_max: u64,
    /// Accepted transactions.
    pub changes: usize,
    /// Refused ones of which the publisher heard.
    pub refused: usize,
    /// Refused ones that there had to be.
    pub refused_expected: usize,
    /// Faults that happened.
    pub faults: usize,
    /// Their steps.
    pub steps: Vec<TimedStep>,
    /// What subscribers used.
    pub subscribers: UsageSummary,
    /// What relays used.
    pub relays: UsageSummary,
    /// When changes began to flow, Unix ms.
    pub began_unix_ms: u64,
    /// How long changes flowed, s.
    pub flow_seconds: f64,
    /// How long the publisher's second process took to go on from its store, ms.
    pub publisher_restart_ms: u64,
    /// How long the start took, s.
    pub start_seconds: f64,
    /// Processes, with the coordinator.
    pub processes: usize,
    /// The longest time that is allowed from acceptance to being in force, ms.
    pub in_force_limit_ms: u64,
    /// What went wrong besides the verdict.
    pub failures: Vec<String>,
}

impl PropagationReport {
    /// Puts a report together and decides whether all that must hold held.
    pub fn new(measured: Measured, verdict: Verdict) -> PropagationReport {
        let Measured { shape, subscribers, relays, .. } = &measured;
        let in_force_ms_max = verdict.latency_ms.max();
        let mut failures = measured.failures.clone();
        failures.extend(verdict.faults.iter().cloned());
        if in_force_ms_max >= measured.in_force_limit_ms {
            failures
                .push(format!("in force after {in_force_ms_max} ms, allowed {}", measured.in_force_limit_ms));
        }
        if measured.refused == 0 && measured.refused_expected > 0 {
            failures.push("the publisher heard of no refusal".into());
        }
        PropagationReport {
            seed: measured.seed,
            subscribers: shape.subscribers,
            relays: shape.relays,
            daemons: measured.daemons,
            daemon_kb_max: measured.daemon_kb_max,
            changes: measured.changes,
            in_force_ms_p50: verdict.latency_ms.value_at_quantile(0.50),
            in_force_ms_p99: verdict.latency_ms.value_at_quantile(0.99),
            in_force_ms_max,
            heal_ms_max: verdict.heal_ms,
            cold_zone_ms: verdict.cold_zone_ms,
            bytes_per_second_subscriber: rounded(subscribers.each(subscribers.bytes_per_second)),
            bytes_per_second_relay: rounded(relays.each(relays.bytes_per_second)),
            cpu_share_subscriber: rounded(subscribers.each(subscribers.shares)),
            cpu_share_relay: rounded(relays.each(relays.shares)),
            cpu_share_relay_max: rounded(relays.largest_share),
            kb_per_subscriber: rounded(subscribers.each(subscribers.kb)),
            kb_relay_max: relays.largest_kb,
            lost: verdict.lost,
            reordered: verdict.reordered,
            torn: verdict.torn,
            diverged: verdict.diverged,
            regressed: verdict.regressed,
            refused: measured.refused,
            refused_expected: measured.refused_expected,
            bad_frames: subscribers.bad_frames + relays.bad_frames,
            snapshots: subscribers.snapshots,
            faults: measured.faults,
            fault_steps: measured.steps.iter().map(FaultLine::from).collect(),
            slowest: verdict
                .slowest
                .map(|slowest| (slowest.published_unix_ms.saturating_sub(measured.began_unix_ms), slowest)),
            ok: failures.is_empty() && verdict.is_clean(),
            failures,
            updates: verdict.updates,
            flow_seconds: rounded(measured.flow_seconds),
            publisher_restart_ms: measured.publisher_restart_ms,
            start_seconds: rounded(measured.start_seconds),
            processes: measured.processes,
            memory_mb: (subscribers.resident_kb + relays.resident_kb) / 1024,
        }
    }
}

/// Six digits after the point are enough for a part of a core.
fn rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
