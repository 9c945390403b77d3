//! The overload level, 0 to 3, from the gauges and the queue.

use super::event::Gauges;
use super::moving_average::{DecayingMean, blend};
use super::timing::SYMPTOM_SPAN_MS;

/// Utilization of the cores from which they count as saturated; below it the level does not rise.
pub(super) const SATURATED_UTILIZATION: f64 = 0.9;
/// Consecutive timers below a level's leave threshold after which it falls a step.
const CALM_TIMERS: u32 = 3;
/// Run queue for each core, beyond the requests that run, that is usual and not counted as competing work.
const USUAL_OTHER_WORK_PER_CORE: f64 = 2.0;
/// Largest competing work for each core that a reading counts.
const MAX_COMPETING_WORK_PER_CORE: f64 = 10.0;
/// Run queue from which the gauge is taken for faulty.
const MAX_RUN_QUEUE: f64 = 1e6;
/// Utilization up to which the gauge is valid; a little over 1 by rounding.
const MAX_UTILIZATION: f64 = 1.01;

/// An overload level.
struct Level {
    /// Queue drain time at which the level is entered, as a part of the usual latency objective.
    enter: f64,
    /// Queue drain time below which the level is left, as a part of the usual latency objective.
    leave: f64,
    /// Share of the usual traffic that is advertised to clients.
    share: f64,
}

/// The overload levels.
const LEVELS: [Level; 4] = [
    Level { enter: 0.0, leave: 0.0, share: 1.0 },
    Level { enter: 0.75, leave: 0.5, share: 0.3 },
    Level { enter: 0.95, leave: 0.75, share: 0.08 },
    Level { enter: 1.15, leave: 0.95, share: 0.01 },
];

/// What the detector reads with each timer.
pub(super) struct LoadSample {
    /// The gauges.
    pub(super) gauges: Gauges,
    /// Cores of the machine.
    pub(super) cores: f64,
    /// Requests on the cores.
    pub(super) running: f64,
    /// Requests that wait for a core.
    pub(super) queued: usize,
    /// Usual time of a run on a warm machine, ms.
    pub(super) usual_run_ms: f64,
    /// Usual latency objective, ms.
    pub(super) latency_objective_ms: f64,
    /// Speed of the instance, as a share of its warm speed.
    pub(super) speed: f64,
    /// Whether the runs fail or stall.
    pub(super) faulty: bool,
}

/// Steps the overload level with hysteresis.
#[derive(Default)]
pub(super) struct OverloadDetector {
    level: usize,
    calm_timers: u32,
    queue_drain_ms: f64,
    runs_off_core: f64,
    competing_work: f64,
    arrival_age: DecayingMean,
}

impl OverloadDetector {
    /// Returns the level as of the last timer, 0 to 3.
    pub(super) fn level(&self) -> usize {
        self.level
    }

    /// Returns the share of the usual traffic that the level advertises.
    pub(super) fn share(&self) -> f64 {
        LEVELS[self.level].share
    }

    /// Returns the time that the queue takes to drain as of the last timer, ms; infinite while runs are
    /// faulty.
    pub(super) fn queue_drain_ms(&self) -> f64 {
        self.queue_drain_ms
    }

    /// Returns the average number of runs that wait for something other than a core.
    pub(super) fn runs_off_core(&self) -> f64 {
        self.runs_off_core
    }

    /// Returns the average run queue beyond the requests that run and the usual other work.
    pub(super) fn competing_work(&self) -> f64 {
        self.competing_work
    }

    /// Returns the average age of requests when they are read, ms.
    pub(super) fn arrival_age_ms(&self) -> f64 {
        self.arrival_age.value()
    }

    /// Takes the age of a request that was read, ms.
    pub(super) fn record_arrival_age(&mut self, age_ms: f64) {
        self.arrival_age.add(age_ms);
    }

    /// Takes a sample and steps the level.
    pub(super) fn update(&mut self, sample: &LoadSample) {
        let run_queue = sample
            .gauges
            .run_queue
            .filter(|length| length.is_finite() && (0.0..MAX_RUN_QUEUE).contains(length));
        let busy = sample.gauges.busy.filter(|busy| (0.0..=MAX_UTILIZATION).contains(busy));
        let pressure = self.queue_pressure(sample, run_queue);
        self.arrival_age.decay(SYMPTOM_SPAN_MS);
        self.update_runs_off_core(sample, run_queue, busy);
        self.update_competing_work(sample, run_queue);
        if sample.faulty {
            self.queue_drain_ms = f64::INFINITY;
        }
        let pressure = if sample.faulty { f64::INFINITY } else { pressure };
        let saturated =
            sample.faulty || busy.unwrap_or(sample.running / sample.cores) >= SATURATED_UTILIZATION;
        self.step(pressure, saturated);
    }

    /// Returns the queue drain time as a part of the latency objective; 0 while no core has more than one
    /// request.
    fn queue_pressure(&mut self, sample: &LoadSample, run_queue: Option<f64>) -> f64 {
        let queue_per_core = (run_queue.unwrap_or(sample.running) + sample.queued as f64) / sample.cores;
        self.queue_drain_ms = queue_per_core * sample.usual_run_ms / sample.speed + self.arrival_age.value();
        if queue_per_core > 1.0 { self.queue_drain_ms / sample.latency_objective_ms } else { 0.0 }
    }

    /// Cores that idle beside queued requests show runs off the cores that other threads hide in the run
    /// queue.
    fn update_runs_off_core(&mut self, sample: &LoadSample, run_queue: Option<f64>, busy: Option<f64>) {
        let off_core = run_queue.map_or(0.0, |length| (sample.running - length).max(0.0));
        let idle_share = if sample.queued > 0 { (1.0 - busy.unwrap_or(1.0)).max(0.0) } else { 0.0 };
        let reading = if idle_share > 0.0 {
            off_core.max(self.runs_off_core) + idle_share * sample.cores
        } else {
            off_core
        };
        blend(&mut self.runs_off_core, reading.min(sample.cores));
    }

    fn update_competing_work(&mut self, sample: &LoadSample, run_queue: Option<f64>) {
        let beyond_runs = run_queue.map_or(0.0, |length| length - sample.running);
        let competing = beyond_runs - USUAL_OTHER_WORK_PER_CORE * sample.cores;
        let reading = competing.clamp(0.0, MAX_COMPETING_WORK_PER_CORE * sample.cores);
        blend(&mut self.competing_work, reading);
    }

    /// Rises one step at a time, and falls one step after [`CALM_TIMERS`] calm timers.
    fn step(&mut self, pressure: f64, saturated: bool) {
        let rises = LEVELS.get(self.level + 1).is_some_and(|next| saturated && pressure >= next.enter);
        if rises {
            self.level += 1;
            self.calm_timers = 0;
            return;
        }
        let calm = self.level > 0 && (pressure < LEVELS[self.level].leave || !saturated);
        self.calm_timers = if calm { self.calm_timers + 1 } else { 0 };
        if self.calm_timers >= CALM_TIMERS {
            self.level -= 1;
            self.calm_timers = 0;
        }
    }
}
