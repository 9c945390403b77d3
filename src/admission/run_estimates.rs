//! Estimates of run times and of the share of arrivals, by class.

use super::clamp::clamp_finite;
use super::moving_average::blend;
use super::request::Request;
use super::settings::Class;

/// Initial estimate of a class's usual run time, as a part of its latency objective.
const INITIAL_RUN_SHARE: f64 = 0.12;
/// Weight of an arrival in the average shares of the classes.
const ARRIVAL_WEIGHT: f64 = 0.02;
/// Smallest weight of a run in its class's usual run time; the first runs have a larger weight.
const MIN_RUN_WEIGHT: f64 = 0.01;
/// Number of runs of a class before its runs count towards the slowdown.
const RUNS_BEFORE_SLOWDOWN: u32 = 10;
/// Upper bound of the slowdown of a single run.
const MAX_SLOWDOWN: f64 = 10.0;
/// Part of a run's expected time that has to fit before the latency objective for the run to be worth
/// starting.
const REQUIRED_FIT: f64 = 0.7;
/// Lower bound of a usual run time as a divisor, ms.
const MIN_USUAL_RUN_MS: f64 = 1.0;
/// Lower bound of the usual latency objective, ms.
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1.0;

/// The estimates of one class.
struct ClassEstimate {
    /// Usual run time on a warm machine, ms.
    usual_run_ms: f64,
    /// Share of the class among arrivals.
    arrival_share: f64,
    runs: u32,
}

/// The averages over all classes, weighted by their shares of the arrivals.
#[derive(Clone, Copy)]
pub(super) struct UsualRun {
    /// Average run time on a warm machine, ms.
    pub(super) run_ms: f64,
    /// Average latency objective, ms.
    pub(super) latency_objective_ms: f64,
}

/// Estimates of run times and of the shares of classes.
pub(super) struct RunEstimates {
    classes: Vec<ClassEstimate>,
    /// Average ratio of recent run times to the usual ones.
    slowdown: f64,
}

impl RunEstimates {
    /// Creates the initial estimates, before any run.
    pub(super) fn new(classes: &[Class]) -> RunEstimates {
        let initial = |class: &Class| ClassEstimate {
            usual_run_ms: class.latency_objective_ms * INITIAL_RUN_SHARE,
            arrival_share: 1.0 / classes.len() as f64,
            runs: 0,
        };
        RunEstimates { classes: classes.iter().map(initial).collect(), slowdown: 1.0 }
    }

    /// Records an arrival of a class.
    pub(super) fn record_arrival(&mut self, class: usize) {
        for (index, estimate) in self.classes.iter_mut().enumerate() {
            let reading = if index == class { 1.0 } else { 0.0 };
            estimate.arrival_share += (reading - estimate.arrival_share) * ARRIVAL_WEIGHT;
        }
    }

    /// Records the time of a successful run, which the instance ran at the given speed.
    pub(super) fn record_run(&mut self, class: usize, took_ms: f64, speed: f64) {
        let Some(estimate) = self.classes.get_mut(class) else { return };
        estimate.runs = estimate.runs.saturating_add(1);
        let weight = (1.0 / f64::from(estimate.runs)).max(MIN_RUN_WEIGHT);
        let slowdown = clamp_finite(took_ms / estimate.usual_run_ms.max(MIN_USUAL_RUN_MS), 0.0, MAX_SLOWDOWN);
        if estimate.runs > RUNS_BEFORE_SLOWDOWN {
            blend(&mut self.slowdown, slowdown);
        }
        // The usual run time refers to a warm machine.
        estimate.usual_run_ms += (took_ms * speed - estimate.usual_run_ms) * weight;
    }

    /// Returns the usual run time of a class on a warm machine, ms; at least 1.
    pub(super) fn usual_run_ms(&self, class: usize) -> f64 {
        self.classes[class].usual_run_ms.max(MIN_USUAL_RUN_MS)
    }

    /// Returns the averages over all classes, weighted by their shares of the arrivals.
    pub(super) fn usual_run(&self, classes: &[Class]) -> UsualRun {
        let mut usual = UsualRun { run_ms: 0.0, latency_objective_ms: 0.0 };
        for (estimate, class) in self.classes.iter().zip(classes) {
            usual.run_ms += estimate.arrival_share * estimate.usual_run_ms;
            usual.latency_objective_ms += estimate.arrival_share * class.latency_objective_ms;
        }
        usual.latency_objective_ms = usual.latency_objective_ms.max(MIN_LATENCY_OBJECTIVE_MS);
        usual
    }

    /// Returns the expected end of a run of the class that starts at `now`.
    ///
    /// While no request runs, a run is expected to take no time: only a run can correct a wrong estimate.
    pub(super) fn expected_end(&self, now: f64, class: usize, idle: bool) -> f64 {
        let expected_ms =
            if idle { 0.0 } else { self.classes[class].usual_run_ms * self.slowdown * REQUIRED_FIT };
        now + expected_ms
    }

    /// Returns whether a run that starts at `now` is expected to end after the request's latency objective.
    pub(super) fn misses_objective(&self, now: f64, request: &Request, idle: bool) -> bool {
        self.expected_end(now, request.class, idle) > request.objective_at
    }
}
