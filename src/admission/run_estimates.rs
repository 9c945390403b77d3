//! How long runs take, by class, and how often each class arrives.

use super::clamp::clamp_finite;
use super::moving_average::blend;
use super::request::Request;
use super::settings::Class;

/// Usual time of a run before any was seen, as a part of its class's latency objective.
const INITIAL_RUN_SHARE: f64 = 0.12;
/// Weight of an arrival in the mix of classes.
const ARRIVAL_WEIGHT: f64 = 0.02;
/// Smallest weight of a run in its class's usual time; the first runs weigh more.
const MIN_RUN_WEIGHT: f64 = 0.01;
/// Runs of a class before they count towards the slowdown.
const RUNS_BEFORE_SLOWDOWN: u32 = 10;
/// Largest slowdown that a single run counts as.
const MAX_SLOWDOWN: f64 = 10.0;
/// Part of the expected time of a run that has to fit before the latency objective for it to be worth
/// starting.
const REQUIRED_FIT: f64 = 0.7;
/// Smallest usual time of a run that is divided by, ms.
const MIN_USUAL_RUN_MS: f64 = 1.0;
/// Smallest usual latency objective, ms.
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1.0;

/// What was learned of a class.
struct ClassEstimate {
    /// Usual time of a run on a warm machine, ms.
    usual_run_ms: f64,
    /// Share of the arrivals.
    arrival_share: f64,
    runs: u32,
}

/// The usual run over all classes as they arrive.
#[derive(Clone, Copy)]
pub(super) struct UsualRun {
    /// Time of the run on a warm machine, ms.
    pub(super) run_ms: f64,
    /// Its latency objective, ms.
    pub(super) latency_objective_ms: f64,
}

/// Estimates of run times.
pub(super) struct RunEstimates {
    classes: Vec<ClassEstimate>,
    /// Recent run time over the usual one.
    slowdown: f64,
}

impl RunEstimates {
    /// Returns the estimates before any run.
    pub(super) fn new(classes: &[Class]) -> RunEstimates {
        let initial = |class: &Class| ClassEstimate {
            usual_run_ms: class.latency_objective_ms * INITIAL_RUN_SHARE,
            arrival_share: 1.0 / classes.len() as f64,
            runs: 0,
        };
        RunEstimates { classes: classes.iter().map(initial).collect(), slowdown: 1.0 }
    }

    /// Takes an arrival of a class.
    pub(super) fn record_arrival(&mut self, class: usize) {
        for (index, estimate) in self.classes.iter_mut().enumerate() {
            let reading = if index == class { 1.0 } else { 0.0 };
            estimate.arrival_share += (reading - estimate.arrival_share) * ARRIVAL_WEIGHT;
        }
    }

    /// Takes the time of a run that succeeded, at that speed of the instance.
    pub(super) fn record_run(&mut self, class: usize, took_ms: f64, speed: f64) {
        let Some(estimate) = self.classes.get_mut(class) else { return };
        estimate.runs = estimate.runs.saturating_add(1);
        let weight = (1.0 / f64::from(estimate.runs)).max(MIN_RUN_WEIGHT);
        let slowdown = clamp_finite(took_ms / estimate.usual_run_ms.max(MIN_USUAL_RUN_MS), 0.0, MAX_SLOWDOWN);
        if estimate.runs > RUNS_BEFORE_SLOWDOWN {
            blend(&mut self.slowdown, slowdown);
        }
        // The usual time is that of a warm machine.
        estimate.usual_run_ms += (took_ms * speed - estimate.usual_run_ms) * weight;
    }

    /// Returns the usual time of a class's run on a warm machine, ms; at least 1.
    pub(super) fn usual_run_ms(&self, class: usize) -> f64 {
        self.classes[class].usual_run_ms.max(MIN_USUAL_RUN_MS)
    }

    /// Returns the usual run over the classes as they arrive.
    pub(super) fn usual_run(&self, classes: &[Class]) -> UsualRun {
        let mut usual = UsualRun { run_ms: 0.0, latency_objective_ms: 0.0 };
        for (estimate, class) in self.classes.iter().zip(classes) {
            usual.run_ms += estimate.arrival_share * estimate.usual_run_ms;
            usual.latency_objective_ms += estimate.arrival_share * class.latency_objective_ms;
        }
        usual.latency_objective_ms = usual.latency_objective_ms.max(MIN_LATENCY_OBJECTIVE_MS);
        usual
    }

    /// Returns when a run of that class that starts now is expected to end.
    ///
    /// While no request runs, a run is expected to take no time: only a run can correct a wrong estimate.
    pub(super) fn expected_end(&self, now: f64, class: usize, idle: bool) -> f64 {
        let expected_ms =
            if idle { 0.0 } else { self.classes[class].usual_run_ms * self.slowdown * REQUIRED_FIT };
        now + expected_ms
    }

    /// Returns whether a run that starts now would end after the request's latency objective.
    pub(super) fn misses_objective(&self, now: f64, request: &Request, idle: bool) -> bool {
        self.expected_end(now, request.class, idle) > request.objective_at
    }
}
