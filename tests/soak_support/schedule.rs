//! What happens to the server in a run, drawn from the seed.

use crate::soak_support::crowd::CrowdSize;
use crate::soak_support::parts::{LeftOut, Part};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Steps of a run.
const STEPS: usize = 5;
/// The longest time between two steps, ms.
const MAX_PAUSE_MS: u64 = 600;
/// The longest time for which a process is stopped, ms.
const MAX_STOP_MS: u64 = 1200;
/// The longest time for which the server is evacuated, ms.
const MAX_EVACUATION_MS: u64 = 800;
/// The longest time for which the registry is down or the worker pool stalls, ms.
const MAX_FAULT_MS: u64 = 1500;
/// The latest moment after a new process's start at which one of the two is killed, ms.
const MAX_KILL_MOMENT_MS: u64 = 60;
/// Steps of a wide run.
const WIDE_STEPS: usize = 3;
/// Keeps what a wide run draws apart from the other draws of its seed.
const WIDE_STREAM: u64 = 1;
/// Steps of a run with series of signals.
const SIGNAL_STEPS: usize = 3;
/// Keeps what such a run draws apart from the other draws of its seed.
const SIGNAL_STREAM: u64 = 2;
/// The most rounds of a series of signals, and the longest time between two of them, ms.
const MAX_SIGNAL_ROUNDS: u32 = 8;
const MAX_SIGNAL_GAP_MS: u64 = 30;
/// The longest time from a new process's readiness to the shutdown request to the old one, ms.
const MAX_UPGRADE_PAUSE_MS: u64 = 800;
/// The part of the runs that have a crowd.
const CROWD_PART: f64 = 0.5;
/// The most connections of each kind in a crowd; together with those of good clients they are past the server's limit.
const MAX_CROWD_OF_A_KIND: usize = 180;

/// Which process is killed in an upgrade.
#[derive(Clone, Copy, Debug)]
pub enum UpgradeKill {
    Nobody,
    /// The new process, so long after its start.
    New(Duration),
    /// The old process, as soon as the new one is ready.
    OldOnceReady,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// SIGHUP, so many times in a row.
    Reload(u32),
    /// SIGSTOP, and SIGCONT after so long.
    Stop(Duration),
    /// An evacuation of that length.
    Evacuate(Duration),
    /// Registry and upstream move to other addresses, and SIGHUP.
    MovePeers,
    /// The registry is down for so long.
    RegistryDown(Duration),
    /// The link to the worker pool breaks.
    BreakPoolLink,
    /// The worker pool neither reads nor writes for so long.
    StallPool(Duration),
    /// A new process takes over; the old one is told to shut down after the pause.
    Upgrade { pause: Duration, kill: UpgradeKill },
    /// A new process takes over and is evacuated for so long; only then the old one is told to shut down.
    EvacuateInUpgrade(Duration),
    /// A new process takes over, and after the pause a further one; only then the two before are told to shut down.
    ThreeProcesses { pause: Duration },
    /// Requests past what the event loop bears, for a second.
    Burst,
    /// SIGHUP, SIGSTOP, SIGHUP, SIGCONT, so many times, with this time between two signals.
    SignalSeries { rounds: u32, gap: Duration },
}

/// The signals at the end: SIGTERM, with others around it, until the kill.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// SIGHUP comes right before SIGTERM.
    pub reload_before: bool,
    /// SIGHUP comes right after SIGTERM.
    pub reload_after: bool,
    /// Further SIGTERMs.
    pub repeats: u32,
    /// The process is stopped for so long, once the shutdown was requested.
    pub stop: Option<Duration>,
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub crowd: Option<CrowdSize>,
    /// Each step with the time before it.
    pub steps: Vec<(Duration, Step)>,
    pub ending: Ending,
}

impl Schedule {
    /// Draws the run of a seed. What is left out is drawn as well, so that the rest stays as it is.
    pub fn draw(seed: u64, left_out: &LeftOut) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let has_crowd = rng.random::<f64>() < CROWD_PART;
        let crowd = draw_crowd(&mut rng);
        let steps: Vec<_> =
            (0..STEPS).map(|_| (draw_ms(&mut rng, MAX_PAUSE_MS), draw_step(&mut rng))).collect();
        let ending = draw_ending(&mut rng);
        let plays_signals = left_out.plays(Part::Signals);
        let quiet = Ending { reload_before: false, reload_after: false, repeats: 0, stop: None };
        Schedule {
            crowd: (has_crowd && left_out.plays(Part::Crowd)).then_some(crowd),
            steps: played(steps, left_out),
            ending: if plays_signals { ending } else { quiet },
        }
    }
}

impl Schedule {
    /// Draws a wide run of a seed: its crowd and its end, and between them steps that [`Schedule::draw`] does not know.
    pub fn draw_wide(seed: u64, left_out: &LeftOut) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(WIDE_STREAM);
        let steps: Vec<_> =
            (0..WIDE_STEPS).map(|_| (draw_ms(&mut rng, MAX_PAUSE_MS), draw_wide_step(&mut rng))).collect();
        Schedule { steps: played(steps, left_out), ..Schedule::draw(seed, left_out) }
    }

    /// Draws a run with series of signals: the crowd, the first steps and the end of its seed, a series after each step.
    pub fn draw_with_series(seed: u64, left_out: &LeftOut) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(SIGNAL_STREAM);
        let drawn = Schedule::draw(seed, left_out);
        let steps = drawn.steps.into_iter().take(SIGNAL_STEPS);
        let steps = steps.flat_map(|step| [step, (Duration::ZERO, draw_signal_series(&mut rng))]).collect();
        Schedule { steps: played(steps, left_out), crowd: drawn.crowd, ending: drawn.ending }
    }
}

/// Returns the steps without those of parts that are left out.
fn played(steps: Vec<(Duration, Step)>, left_out: &LeftOut) -> Vec<(Duration, Step)> {
    let is_played = |step: &Step| parts(step).iter().all(|part| left_out.plays(*part));
    steps.into_iter().filter(|(_, step)| is_played(step)).collect()
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
    let kill = *kill.choose(rng).expect("there are some");
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
    *steps.choose(rng).expect("there are some")
}

fn draw_wide_step(rng: &mut ChaCha8Rng) -> Step {
    let evacuation = draw_ms(rng, MAX_EVACUATION_MS);
    let pause = draw_ms(rng, MAX_UPGRADE_PAUSE_MS);
    let steps = [Step::EvacuateInUpgrade(evacuation), Step::ThreeProcesses { pause }, Step::Burst];
    *steps.choose(rng).expect("there are some")
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
    CrowdSize { idle: draw(), dripping: draw(), flooding: draw() / 20, reading_nothing: draw() / 20 }
}

fn draw_ms(rng: &mut ChaCha8Rng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=max_ms))
}
