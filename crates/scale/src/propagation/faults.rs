//! What goes wrong during a run, and when: every kind of fault at least once, in an order, at places and for times that
//! the seed decides.

use super::control::{CutKind, LinkScope};
use super::topology::Topology;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Separates the seed of the faults from that of the changes.
const FAULT_STREAM: u64 = 1;
/// The part of its turn, in percent, at which a fault's end lies.
const END_PERCENT: std::ops::RangeInclusive<u64> = 40..=80;
/// The longest a fault lasts, ms.
const LONGEST_MS: u64 = 5_000;
/// A process that was killed is started again after this time at the latest, ms, if the fleet can't do without it.
const LONGEST_RESTART_MS: u64 = 1_000;

/// One thing that is done to the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Kill a relay.
    KillRelay(usize),
    /// Start it again.
    StartRelay(usize),
    /// Stop a relay where it is.
    PauseRelay(usize),
    /// Let it go on.
    ResumeRelay(usize),
    /// Cut a region off.
    CutRegion(usize, #[serde(skip)] CutKind),
    /// End that.
    HealRegion(usize),
    /// Kill the process of a zone's subscribers.
    KillZone(usize),
    /// Start them again from their state.
    StartZone(usize),
    /// Kill the publisher.
    KillPublisher,
    /// Start it again from its store.
    StartPublisher,
    /// Send damaged frames to a relay's listener.
    SendGarbage(usize),
    /// Damage frames on their way from a server to clients of a region's proxy.
    DamageLinks(usize, #[serde(skip)] LinkScope),
}

/// A step and its time, ms after the first change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// When.
    pub at_ms: u64,
    /// What.
    pub step: Step,
}

/// A fault before it has its time.
#[derive(Clone, Copy)]
struct Fault {
    begin: Step,
    end: Option<Step>,
    longest_ms: u64,
}

impl Fault {
    fn at_once(begin: Step) -> Fault {
        Fault { begin, end: None, longest_ms: 0 }
    }

    fn lasting(begin: Step, end: Step, longest_ms: u64) -> Fault {
        Fault { begin, end: Some(end), longest_ms }
    }
}

/// The steps of a run in their order, the last of which lies before `duration_ms`.
pub fn schedule(topology: &Topology, seed: u64, duration_ms: u64) -> Vec<TimedStep> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(FAULT_STREAM);
    let mut faults = faults(topology, &mut random);
    faults.shuffle(&mut random);
    let turn_ms = duration_ms / faults.len() as u64;
    let mut steps = Vec::new();
    for (turn, fault) in faults.into_iter().enumerate() {
        let at_ms = turn as u64 * turn_ms + random.random_range(0..=turn_ms / 10);
        steps.push(TimedStep { at_ms, step: fault.begin });
        if let Some(step) = fault.end {
            let lasts_ms = (turn_ms * random.random_range(END_PERCENT) / 100).min(fault.longest_ms);
            steps.push(TimedStep { at_ms: at_ms + lasts_ms, step });
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// How many faults [`schedule`] gives.
pub fn fault_count(topology: &Topology) -> usize {
    faults(topology, &mut ChaCha8Rng::seed_from_u64(0)).len()
}

fn faults(topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Fault> {
    let zone_relays: Vec<usize> = topology.zone_relays().collect();
    let region_relays: Vec<usize> = topology.region_relays().collect();
    let mut one_of = |relays: &[usize]| relays.choose(random).copied().unwrap_or_default();
    let killed = [one_of(&zone_relays), one_of(&region_relays)];
    let paused = [one_of(&zone_relays), one_of(&region_relays)];
    let addressed = [one_of(&zone_relays), one_of(&region_relays)];
    let mut regions: Vec<usize> = (0..topology.shape.regions).collect();
    regions.shuffle(random);
    let region = |turn: usize| regions[turn % regions.len()];
    let zone = random.random_range(0..topology.shape.zones);

    let kills =
        killed.map(|relay| Fault::lasting(Step::KillRelay(relay), Step::StartRelay(relay), LONGEST_MS));
    let pauses =
        paused.map(|relay| Fault::lasting(Step::PauseRelay(relay), Step::ResumeRelay(relay), LONGEST_MS));
    let cuts = [(region(0), CutKind::Silent), (region(1), CutKind::Refuse)].map(|(region, kind)| {
        Fault::lasting(Step::CutRegion(region, kind), Step::HealRegion(region), LONGEST_MS)
    });
    let restarts = [
        Fault::lasting(Step::KillZone(zone), Step::StartZone(zone), LONGEST_RESTART_MS),
        Fault::lasting(Step::KillPublisher, Step::StartPublisher, LONGEST_RESTART_MS),
    ];
    let damages = [
        Step::SendGarbage(addressed[0]),
        Step::SendGarbage(addressed[1]),
        Step::DamageLinks(region(2), LinkScope::Crossing),
        Step::DamageLinks(region(3), LinkScope::Within),
    ]
    .map(Fault::at_once);
    [&kills[..], &pauses, &cuts, &restarts, &damages].concat()
}
