//! The overload level, 0 to 3, which is derived from the gauges and the queue.

use super::event::Gauges;
use super::moving_average::{DecayingMean, blend};
use super::timing::SYMPTOM_SPAN_MS;

/// Utilization at or above which the cores count as saturated; below it the level does not rise.
pub(super) const SATURATED_UTILIZATION: f64 = 0.9;
/// Consecutive timers with low load, below a level's leave threshold or without saturation, after which the
/// level falls by one.
const LOW_LOAD_TIMERS: u32 = 3;
/// Usual run queue per core beyond the running requests; it does not count as competing work.
const USUAL_OTHER_WORK_PER_CORE: f64 = 2.0;
/// Upper bound of the competing work per core in one reading.
const MAX_COMPETING_WORK_PER_CORE: f64 = 10.0;
/// Run queue at or above which the gauge is considered faulty and ignored.
const MAX_RUN_QUEUE: f64 = 1e6;
/// Largest valid utilization; a little over 1 because of rounding.
const MAX_UTILIZATION: f64 = 1.01;

/// The thresholds and the share of an overload level.
struct Level {
    /// Queue drain time at which the level is entered, as a part of the usual latency objective.
    enter: f64,
    /// Queue drain time below which the level is left, as a part of the usual latency objective.
    leave: f64,
    /// Share of the usual traffic that is advertised to clients.
    share: f64,
}

/// The overload levels, by number.
const LEVELS: [Level; 4] = [
    Level { enter: 0.0, leave: 0.0, share: 1.0 },
    Level { enter: 0.75, leave: 0.5, share: 0.3 },
    Level { enter: 0.95, leave: 0.75, share: 0.08 },
    Level { enter: 1.15, leave: 0.95, share: 0.01 },
];

/// The input of the detector at each timer.
pub(super) struct LoadSample {
    /// The gauges of the instance.
    pub(super) gauges: Gauges,
    /// Number of cores of the machine.
    pub(super) cores: f64,
    /// Number of running requests.
    pub(super) running: f64,
    /// Number of queued requests.
    pub(super) queued: usize,
    /// Usual time of a run on a warm machine, ms.
    pub(super) usual_run_ms: f64,
    /// Usual latency objective, ms.
    pub(super) latency_objective_ms: f64,
    /// Speed of the instance, as a share of its warm speed.
    pub(super) speed: f64,
    /// Whether too many runs fail or the runs are stalled.
    pub(super) faulty: bool,
}

/// Steps the overload level with hysteresis.
#[derive(Default)]
pub(super) struct OverloadDetector {
    level: usize,
    low_load_timers: u32,
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

    /// Returns the estimated time that the queue takes to drain as of the last timer, ms.
    ///
    /// It is infinite while runs fail or stall.
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

    /// Records the age of a request that was read, ms.
    pub(super) fn record_arrival_age(&mut self, age_ms: f64) {
        self.arrival_age.add(age_ms);
    }

    /// Updates the averages and the level with the sample of a timer.
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

    /// Updates the queue drain time and returns it as a part of the latency objective.
    ///
    /// Returns 0 while there is at most one request per core.
    fn queue_pressure(&mut self, sample: &LoadSample, run_queue: Option<f64>) -> f64 {
        let queue_per_core = (run_queue.unwrap_or(sample.running) + sample.queued as f64) / sample.cores;
        self.queue_drain_ms = queue_per_core * sample.usual_run_ms / sample.speed + self.arrival_age.value();
        if queue_per_core > 1.0 { self.queue_drain_ms / sample.latency_objective_ms } else { 0.0 }
    }

    /// Updates the average number of runs that wait for something other than a core.
    ///
    /// Other threads in the run queue hide runs that are off the cores. Such runs are inferred from cores
    /// that idle while requests are queued.
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
        let other_threads = run_queue.map_or(0.0, |length| length - sample.running);
        let competing = other_threads - USUAL_OTHER_WORK_PER_CORE * sample.cores;
        let reading = competing.clamp(0.0, MAX_COMPETING_WORK_PER_CORE * sample.cores);
        blend(&mut self.competing_work, reading);
    }

    /// Raises the level by at most one per timer, and lowers it by one after [`LOW_LOAD_TIMERS`] timers with
    /// low load.
    fn step(&mut self, pressure: f64, saturated: bool) {
        let rises = LEVELS.get(self.level + 1).is_some_and(|next| saturated && pressure >= next.enter);
        if rises {
            self.level += 1;
            self.low_load_timers = 0;
            return;
        }
        let low_load = self.level > 0 && (pressure < LEVELS[self.level].leave || !saturated);
        self.low_load_timers = if low_load { self.low_load_timers + 1 } else { 0 };
        if self.low_load_timers >= LOW_LOAD_TIMERS {
            self.level -= 1;
            self.low_load_timers = 0;
        }
    }
}
