//! The schedule of a soak run, drawn from a seed.

use crate::soak_support::crowd::CrowdSize;
use crate::soak_support::parts::{ExcludedParts, Part};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of steps of a run.
const STEPS: usize = 5;
/// Maximum time between two steps, ms.
const MAX_PAUSE_MS: u64 = 600;
/// Maximum time for which a process is stopped, ms.
const MAX_STOP_MS: u64 = 1200;
/// Maximum time for which the server is evacuated, ms.
const MAX_EVACUATION_MS: u64 = 800;
/// Maximum time for which the registry is down or the worker pool stalls, ms.
const MAX_FAULT_MS: u64 = 1500;
/// Maximum time from a new process's start to a kill of one of the two processes, ms.
const MAX_KILL_MOMENT_MS: u64 = 60;
/// Number of steps of a wide run.
const WIDE_STEPS: usize = 3;
/// The stream of the random number generator for wide runs, separate from the other random numbers of a seed.
const WIDE_STREAM: u64 = 1;
/// Number of steps of a run with series of signals.
const SIGNAL_STEPS: usize = 3;
/// The stream of the random number generator for series of signals, separate from the other random numbers
/// of a seed.
const SIGNAL_STREAM: u64 = 2;
/// Maximum number of rounds in a series of signals.
const MAX_SIGNAL_ROUNDS: u32 = 8;
/// Maximum time between two signals of a series, ms.
const MAX_SIGNAL_GAP_MS: u64 = 30;
/// Maximum time from a new process's readiness to the shutdown request to the old one, ms.
const MAX_UPGRADE_PAUSE_MS: u64 = 800;
/// Fraction of the runs with misbehaving clients.
const CROWD_PART: f64 = 0.5;
/// Maximum number of connections of each kind of misbehaving client; together with those of regular clients,
/// they exceed the server's limit.
const MAX_CROWD_OF_A_KIND: usize = 180;

/// The process that is killed in an upgrade.
#[derive(Clone, Copy, Debug)]
pub enum UpgradeKill {
    Nobody,
    /// The new process, this long after its start.
    New(Duration),
    /// The old process, as soon as the new one is ready.
    OldOnceReady,
}

/// A step of a run.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// SIGHUP, this many times in a row.
    Reload(u32),
    /// SIGSTOP, and SIGCONT after this time.
    Stop(Duration),
    /// An evacuation of this length.
    Evacuate(Duration),
    /// The registry and the upstream service move to other addresses, followed by SIGHUP.
    MovePeers,
    /// The registry is down for this time.
    RegistryDown(Duration),
    /// The link to the worker pool breaks.
    BreakPoolLink,
    /// The worker pool neither reads nor writes for this time.
    StallPool(Duration),
    /// A new process takes over, and the shutdown of the old one is requested after the pause.
    Upgrade { pause: Duration, kill: UpgradeKill },
    /// A new process takes over and is evacuated for this time; only then the shutdown of the old one is
    /// requested.
    EvacuateInUpgrade(Duration),
    /// A new process takes over, and after the pause a further one; only then the shutdown of the first two
    /// is requested.
    ThreeProcesses { pause: Duration },
    /// More requests than the event loop can handle, for a second.
    Burst,
    /// SIGHUP, SIGSTOP, SIGHUP, SIGCONT, this many times, with this time between two signals.
    SignalSeries { rounds: u32, gap: Duration },
}

/// The signals at the end of a run: SIGTERM, with others around it, until the kill.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// Whether SIGHUP is sent right before SIGTERM.
    pub reload_before: bool,
    /// Whether SIGHUP is sent right after SIGTERM.
    pub reload_after: bool,
    /// Number of further SIGTERMs.
    pub repeats: u32,
    /// Time for which the process is stopped after the shutdown request.
    pub stop: Option<Duration>,
}

/// The schedule of a whole run.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub crowd: Option<CrowdSize>,
    /// The steps, each with the time before it.
    pub steps: Vec<(Duration, Step)>,
    pub ending: Ending,
}

impl Schedule {
    /// Draws the run of a seed. Excluded parts are drawn as well, so that the other parts stay the same.
    pub fn draw(seed: u64, excluded: &ExcludedParts) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let has_crowd = rng.random::<f64>() < CROWD_PART;
        let crowd = draw_crowd(&mut rng);
        let steps: Vec<_> =
            (0..STEPS).map(|_| (draw_ms(&mut rng, MAX_PAUSE_MS), draw_step(&mut rng))).collect();
        let ending = draw_ending(&mut rng);
        let includes_signals = excluded.includes(Part::Signals);
        let quiet = Ending { reload_before: false, reload_after: false, repeats: 0, stop: None };
        Schedule {
            crowd: (has_crowd && excluded.includes(Part::Crowd)).then_some(crowd),
            steps: included_steps(steps, excluded),
            ending: if includes_signals { ending } else { quiet },
        }
    }
}

impl Schedule {
    /// Draws a wide run: the misbehaving clients and the ending of the seed's run, with steps that
    /// [`Schedule::draw`] does not use.
    pub fn draw_wide(seed: u64, excluded: &ExcludedParts) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(WIDE_STREAM);
        let steps: Vec<_> =
            (0..WIDE_STEPS).map(|_| (draw_ms(&mut rng, MAX_PAUSE_MS), draw_wide_step(&mut rng))).collect();
        Schedule { steps: included_steps(steps, excluded), ..Schedule::draw(seed, excluded) }
    }

    /// Draws a run with series of signals: the misbehaving clients, the first steps and the ending of the
    /// seed's run, with a series after each step.
    pub fn draw_with_series(seed: u64, excluded: &ExcludedParts) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(SIGNAL_STREAM);
        let drawn = Schedule::draw(seed, excluded);
        let steps = drawn.steps.into_iter().take(SIGNAL_STEPS);
        let steps = steps.flat_map(|step| [step, (Duration::ZERO, draw_signal_series(&mut rng))]).collect();
        Schedule { steps: included_steps(steps, excluded), crowd: drawn.crowd, ending: drawn.ending }
    }
}

/// Returns the steps without those of excluded parts.
fn included_steps(steps: Vec<(Duration, Step)>, excluded: &ExcludedParts) -> Vec<(Duration, Step)> {
    let is_included = |step: &Step| parts(step).iter().all(|part| excluded.includes(*part));
    steps.into_iter().filter(|(_, step)| is_included(step)).collect()
}

/// Returns the parts that a step belongs to.
fn parts(step: &Step) -> &'static [Part] {
    match step {
        Step::Reload(_) | Step::Stop(_) | Step::SignalSeries { .. } => &[Part::Signals],
        Step::Evacuate(_) => &[Part::Evacuation],
        Step::MovePeers | Step::RegistryDown(_) | Step::BreakPoolLink | Step::StallPool(_) => &[Part::Peers],
        Step::Upgrade { kill: UpgradeKill::Nobody, .. } => &[Part::Upgrades],
        Step::Upgrade { .. } => &[Part::Upgrades, Part::Kills],
        Step::EvacuateInUpgrade(_) => &[Part::Upgrades, Part::Evacuation],
        Step::ThreeProcesses { .. } => &[Part::Upgrades],
        Step::Burst => &[Part::Bursts],
    }
}

fn draw_step(rng: &mut ChaCha8Rng) -> Step {
    let kill =
        [UpgradeKill::Nobody, UpgradeKill::New(draw_ms(rng, MAX_KILL_MOMENT_MS)), UpgradeKill::OldOnceReady];
    let kill = *kill.choose(rng).expect("the list is not empty");
    let pause = draw_ms(rng, MAX_UPGRADE_PAUSE_MS);
    let steps = [
        Step::Reload(rng.random_range(1..=3)),
        Step::Stop(draw_ms(rng, MAX_STOP_MS)),
        Step::Evacuate(draw_ms(rng, MAX_EVACUATION_MS)),
        Step::MovePeers,
        Step::RegistryDown(draw_ms(rng, MAX_FAULT_MS)),
        Step::BreakPoolLink,
        Step::StallPool(draw_ms(rng, MAX_FAULT_MS)),
        Step::Upgrade { pause, kill: UpgradeKill::Nobody },
        Step::Upgrade { pause, kill },
    ];
    *steps.choose(rng).expect("the list is not empty")
}

fn draw_wide_step(rng: &mut ChaCha8Rng) -> Step {
    let evacuation = draw_ms(rng, MAX_EVACUATION_MS);
    let pause = draw_ms(rng, MAX_UPGRADE_PAUSE_MS);
    let steps = [Step::EvacuateInUpgrade(evacuation), Step::ThreeProcesses { pause }, Step::Burst];
    *steps.choose(rng).expect("the list is not empty")
}

fn draw_signal_series(rng: &mut ChaCha8Rng) -> Step {
    let rounds = rng.random_range(1..=MAX_SIGNAL_ROUNDS);
    Step::SignalSeries { rounds, gap: draw_ms(rng, MAX_SIGNAL_GAP_MS) }
}

fn draw_ending(rng: &mut ChaCha8Rng) -> Ending {
    let stop = draw_ms(rng, MAX_STOP_MS);
    Ending {
        reload_before: rng.random(),
        reload_after: rng.random(),
        repeats: rng.random_range(0..=2),
        stop: rng.random::<bool>().then_some(stop),
    }
}

fn draw_crowd(rng: &mut ChaCha8Rng) -> CrowdSize {
    let mut draw = || rng.random_range(0..=MAX_CROWD_OF_A_KIND);
    CrowdSize { idle: draw(), single_byte: draw(), flooding: draw() / 20, reading_nothing: draw() / 20 }
}

fn draw_ms(rng: &mut ChaCha8Rng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=max_ms))
}
