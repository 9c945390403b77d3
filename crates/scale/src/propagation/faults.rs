//! The faults of a run and their schedule: every kind of fault at least once, with order, targets and
//! durations derived from the seed.

use super::control::{CutKind, LinkScope};
use super::topology::Topology;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Random stream of the faults, which keeps them independent of the changes under the same seed.
const FAULT_STREAM: u64 = 1;
/// Duration of a fault in percent of its time slot.
const DURATION_PERCENT: std::ops::RangeInclusive<u64> = 40..=80;
/// Maximum duration of a fault, ms.
const MAX_FAULT_MS: u64 = 5_000;
/// Maximum time until a killed process is started again if the fleet depends on it, ms.
const MAX_RESTART_DELAY_MS: u64 = 1_000;

/// One action of the fault schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Kill a relay.
    KillRelay(usize),
    /// Start a killed relay again.
    StartRelay(usize),
    /// Suspend a relay (SIGSTOP).
    PauseRelay(usize),
    /// Resume a suspended relay (SIGCONT).
    ResumeRelay(usize),
    /// Cut a region off.
    CutRegion(usize, #[serde(skip)] CutKind),
    /// Reconnect a region that was cut off.
    HealRegion(usize),
    /// Kill the process of a zone's subscribers.
    KillZone(usize),
    /// Start a zone's subscribers again from their kept state.
    StartZone(usize),
    /// Kill the publisher.
    KillPublisher,
    /// Start the publisher again from its store.
    StartPublisher,
    /// Send damaged frames to a relay's listener.
    SendGarbage(usize),
    /// Damage frames on their way from a server to clients of a region's proxy.
    DamageLinks(usize, #[serde(skip)] LinkScope),
}

/// A step and its time, ms after the first change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// Time of the step, ms after the first change.
    pub at_ms: u64,
    /// Step to carry out.
    pub step: Step,
}

/// A fault that is not scheduled yet.
#[derive(Clone, Copy)]
struct Fault {
    begin: Step,
    end: Option<Step>,
    max_ms: u64,
}

impl Fault {
    fn instant(begin: Step) -> Fault {
        Fault { begin, end: None, max_ms: 0 }
    }

    fn lasting(begin: Step, end: Step, max_ms: u64) -> Fault {
        Fault { begin, end: Some(end), max_ms }
    }
}

/// Returns the steps of a run ordered by time; the last one is before `duration_ms`.
pub fn schedule(topology: &Topology, seed: u64, duration_ms: u64) -> Vec<TimedStep> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(FAULT_STREAM);
    let mut faults = faults(topology, &mut random);
    faults.shuffle(&mut random);
    let slot_ms = duration_ms / faults.len() as u64;
    let mut steps = Vec::new();
    for (slot, fault) in faults.into_iter().enumerate() {
        let at_ms = slot as u64 * slot_ms + random.random_range(0..=slot_ms / 10);
        steps.push(TimedStep { at_ms, step: fault.begin });
        if let Some(step) = fault.end {
            let fault_duration_ms = (slot_ms * random.random_range(DURATION_PERCENT) / 100).min(fault.max_ms);
            steps.push(TimedStep { at_ms: at_ms + fault_duration_ms, step });
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Returns the number of faults that [`schedule`] returns.
pub fn fault_count(topology: &Topology) -> usize {
    faults(topology, &mut ChaCha8Rng::seed_from_u64(0)).len()
}

fn faults(topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Fault> {
    let zone_relays: Vec<usize> = topology.zone_relays().collect();
    let region_relays: Vec<usize> = topology.region_relays().collect();
    let mut choose_relay = |relays: &[usize]| relays.choose(random).copied().unwrap_or_default();
    let killed = [choose_relay(&zone_relays), choose_relay(&region_relays)];
    let paused = [choose_relay(&zone_relays), choose_relay(&region_relays)];
    let garbage_targets = [choose_relay(&zone_relays), choose_relay(&region_relays)];
    let mut regions: Vec<usize> = (0..topology.shape.regions).collect();
    regions.shuffle(random);
    let region = |index: usize| regions[index % regions.len()];
    let zone = random.random_range(0..topology.shape.zones);

    let kills =
        killed.map(|relay| Fault::lasting(Step::KillRelay(relay), Step::StartRelay(relay), MAX_FAULT_MS));
    let pauses =
        paused.map(|relay| Fault::lasting(Step::PauseRelay(relay), Step::ResumeRelay(relay), MAX_FAULT_MS));
    let cuts = [(region(0), CutKind::Silent), (region(1), CutKind::Refuse)].map(|(region, kind)| {
        Fault::lasting(Step::CutRegion(region, kind), Step::HealRegion(region), MAX_FAULT_MS)
    });
    let restarts = [
        Fault::lasting(Step::KillZone(zone), Step::StartZone(zone), MAX_RESTART_DELAY_MS),
        Fault::lasting(Step::KillPublisher, Step::StartPublisher, MAX_RESTART_DELAY_MS),
    ];
    let damages = [
        Step::SendGarbage(garbage_targets[0]),
        Step::SendGarbage(garbage_targets[1]),
        Step::DamageLinks(region(2), LinkScope::Crossing),
        Step::DamageLinks(region(3), LinkScope::Within),
    ]
    .map(Fault::instant);
    [&kills[..], &pauses, &cuts, &restarts, &damages].concat()
}
