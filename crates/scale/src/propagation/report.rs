//! The report that a run prints.

use super::control::Usage;
use super::faults::TimedStep;
use super::judge::{Delivery, Verdict};
use super::topology::Shape;
use serde::Serialize;

/// Default limit of the time until a change is in force at a reachable subscriber, ms.
pub const IN_FORCE_LIMIT_MS: u64 = 6_000;

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct PropagationReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of client-only subscribers.
    pub subscribers: usize,
    /// Number of relays.
    pub relays: usize,
    /// Number of real daemons that subscribe as well.
    pub daemons: usize,
    /// Resident memory of the largest daemon, KB.
    pub daemon_kb_max: u64,
    /// Number of transactions that the publisher accepted, without those of the initial table.
    pub changes: usize,
    /// Median time from the proposal of a change until it was in force at a reachable subscriber, ms.
    pub in_force_ms_p50: u64,
    /// 99th percentile of the time until a change was in force, ms.
    pub in_force_ms_p99: u64,
    /// Maximum time until a change was in force, ms.
    pub in_force_ms_max: u64,
    /// Longest time from the end of an outage until a subscriber had all changes accepted before that end in
    /// force, ms.
    pub heal_ms_max: u64,
    /// Longest time from the start of a restarted zone's process until a subscriber had all changes accepted
    /// before the end of the outage in force, ms.
    pub cold_zone_ms: u64,
    /// Mean bytes per second that a subscriber received and sent on the wire, with headers.
    pub bytes_per_second_subscriber: f64,
    /// Mean bytes per second that a relay received and sent on the wire, with headers.
    pub bytes_per_second_relay: f64,
    /// Mean share of a core that a subscriber used, including its share of the recording.
    pub cpu_share_subscriber: f64,
    /// Mean share of a core that a relay used.
    pub cpu_share_relay: f64,
    /// Share of a core that the busiest relay used.
    pub cpu_share_relay_max: f64,
    /// Memory of a subscriber without the table, which the subscribers of a process share, KB: growth of the
    /// process when the subscribers connected and while changes were published.
    pub kb_per_subscriber: f64,
    /// Resident memory of the largest relay, KB.
    pub kb_relay_max: u64,
    /// Number of changes missing at subscribers at the end, summed over the subscribers.
    pub lost: u64,
    /// Number of updates with a value older than one applied before.
    pub reordered: u64,
    /// Number of updates after which the table differed from the publisher's.
    pub torn: u64,
    /// Number of subscribers whose whole table differs from the publisher's at the end.
    pub diverged: u64,
    /// Number of updates to an earlier position.
    pub regressed: u64,
    /// Number of transactions whose refusal by subscribers reached the publisher.
    pub refused: usize,
    /// Number of transactions that the servers of one zone had to refuse.
    pub refused_expected: usize,
    /// Number of connections that subscribers and relays closed because of a bad frame.
    pub bad_frames: u64,
    /// Number of snapshots that subscribers applied.
    pub snapshots: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Steps of the faults in their order.
    pub fault_steps: Vec<FaultLine>,
    /// Slowest delivery, with its proposal time in ms after the first change.
    pub slowest: Option<(u64, Delivery)>,
    /// Whether all requirements were met.
    pub ok: bool,
    /// Requirements that were not met.
    pub failures: Vec<String>,
    /// Number of checked updates.
    pub updates: u64,
    /// Duration of the phase in which changes were published, s.
    pub flow_seconds: f64,
    /// Time from the start of the publisher's second process until it continued from its store, ms.
    pub publisher_restart_ms: u64,
    /// Time until all processes had the initial table, s.
    pub start_seconds: f64,
    /// Number of concurrent processes, including the coordinator.
    pub processes: usize,
    /// Total resident memory of relays and subscribers, MB.
    pub memory_mb: u64,
}

/// A step of the fault schedule.
#[derive(Clone, Debug, Serialize)]
pub struct FaultLine {
    /// Time of the step, ms after the first change.
    pub at_ms: u64,
    /// Step that was carried out.
    pub step: super::faults::Step,
}

impl From<&TimedStep> for FaultLine {
    fn from(step: &TimedStep) -> Self {
        FaultLine { at_ms: step.at_ms, step: step.step }
    }
}

/// Summed resource usage of the processes of one kind. Processes that were restarted during the run count
/// only towards bad frames, snapshots and resident memory, because their CPU shares and rates would be
/// those of a start.
#[derive(Clone, Debug, Default)]
pub struct UsageSummary {
    members: f64,
    cpu_shares: f64,
    largest_cpu_share: f64,
    bytes_per_second: f64,
    subscribers_kb: f64,
    largest_kb: u64,
    resident_kb: u64,
    bad_frames: u64,
    snapshots: u64,
}

impl UsageSummary {
    /// Adds a process that runs `members` members.
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
        self.cpu_shares += share;
        self.largest_cpu_share = self.largest_cpu_share.max(share);
        self.bytes_per_second += traffic.wire_bytes() as f64 * 1e3 / wall_ms;
        self.subscribers_kb += usage.subscribers_kb as f64;
    }

    fn per_member(&self, total: f64) -> f64 {
        total / self.members.max(1.0)
    }
}

/// The data of a report besides the verdict.
pub struct Measured {
    /// Seed of the run.
    pub seed: u64,
    /// Sizes of the run.
    pub shape: Shape,
    /// Number of real daemons.
    pub daemons: usize,
    /// Resident memory of the largest daemon, KB.
    pub daemon_kb_max: u64,
    /// Number of accepted transactions.
    pub changes: usize,
    /// Number of transactions whose refusal reached the publisher.
    pub refused: usize,
    /// Number of transactions that had to be refused.
    pub refused_expected: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Steps of the faults.
    pub steps: Vec<TimedStep>,
    /// Resource usage of the subscribers.
    pub subscribers: UsageSummary,
    /// Resource usage of the relays.
    pub relays: UsageSummary,
    /// Start of the phase in which changes were published, Unix ms.
    pub began_unix_ms: u64,
    /// Duration of the phase in which changes were published, s.
    pub flow_seconds: f64,
    /// Time from the start of the publisher's second process until it continued from its store, ms.
    pub publisher_restart_ms: u64,
    /// Time until all processes had the initial table, s.
    pub start_seconds: f64,
    /// Number of processes, including the coordinator.
    pub processes: usize,
    /// Limit of the time from the proposal of a change until it is in force, ms.
    pub in_force_limit_ms: u64,
    /// Failures besides those of the verdict.
    pub failures: Vec<String>,
}

impl PropagationReport {
    /// Builds a report and decides whether all requirements were met.
    pub fn new(measured: Measured, verdict: Verdict) -> PropagationReport {
        let Measured { shape, subscribers, relays, .. } = &measured;
        let in_force_ms_max = verdict.latency_ms.max();
        let mut failures = measured.failures.clone();
        failures.extend(verdict.faults.iter().cloned());
        if in_force_ms_max >= measured.in_force_limit_ms {
            failures.push(format!(
                "in force after {in_force_ms_max} ms, limit {} ms",
                measured.in_force_limit_ms
            ));
        }
        if measured.refused == 0 && measured.refused_expected > 0 {
            failures.push("no refusal reached the publisher".into());
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
            bytes_per_second_subscriber: rounded(subscribers.per_member(subscribers.bytes_per_second)),
            bytes_per_second_relay: rounded(relays.per_member(relays.bytes_per_second)),
            cpu_share_subscriber: rounded(subscribers.per_member(subscribers.cpu_shares)),
            cpu_share_relay: rounded(relays.per_member(relays.cpu_shares)),
            cpu_share_relay_max: rounded(relays.largest_cpu_share),
            kb_per_subscriber: rounded(subscribers.per_member(subscribers.subscribers_kb)),
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

/// Rounds to six decimal places, which are enough for a share of a core.
fn rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
