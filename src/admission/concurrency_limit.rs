//! The limit of concurrent runs.
//!
//! # Invariants
//! The number of requests that run or are at an upstream call stays below the concurrency that the machine
//! survives at its present speed, so that it also survives if all calls return at the same time.

use super::request_totals::{RequestTotals, RunCounts};
use super::settings::Settings;
use std::collections::BTreeMap;

/// Concurrent runs per core; a little over one fills the gaps between runs.
const RUNS_PER_CORE: f64 = 1.25;
/// Part of the survivable concurrency that is used; the rest is a margin for reads and for runs that stop
/// late.
const USED_SURVIVABLE_RUNS: f64 = 0.7;

/// The quantities that the limit depends on.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    /// Speed of the instance, as a share of its warm speed.
    pub(super) speed: f64,
    /// Average number of runs that wait for something other than a core.
    pub(super) runs_off_core: f64,
}

/// Computes the limit of concurrent runs.
pub(super) struct ConcurrencyLimit {
    cores: f64,
    survivable_runs_per_core: f64,
}

impl ConcurrencyLimit {
    /// Creates the limit from the settings.
    pub(super) fn new(settings: &Settings) -> ConcurrencyLimit {
        ConcurrencyLimit {
            cores: settings.cores,
            survivable_runs_per_core: settings.survivable_runs_per_core,
        }
    }

    /// Returns whether a run may start.
    ///
    /// Requests at an upstream call count towards the survivable concurrency.
    pub(super) fn has_capacity(&self, counts: RunCounts, capacity: Capacity) -> bool {
        let running = counts.running as f64;
        let at_call = (counts.awaiting_call + counts.calling) as f64;
        running < self.limit(capacity) && running + at_call < self.survivable_runs(capacity.speed).max(1.0)
    }

    /// Returns whether running requests and those whose upstream call is still to be made reach the limit.
    ///
    /// A further request that requires an upstream call would then only wait for it.
    pub(super) fn is_blocked_by_calls(&self, counts: RunCounts, capacity: Capacity) -> bool {
        (counts.running + counts.awaiting_call) as f64 >= self.limit(capacity)
    }

    /// Returns the maximum number of running requests.
    fn limit(&self, capacity: Capacity) -> f64 {
        let wanted = self.cores * RUNS_PER_CORE + capacity.runs_off_core;
        wanted.min(self.survivable_runs(capacity.speed)).max(1.0).floor()
    }

    /// Returns the number of concurrent runs that the machine survives at this speed, with a margin.
    fn survivable_runs(&self, speed: f64) -> f64 {
        let per_core = 1.0 + (self.survivable_runs_per_core - 1.0) * speed;
        self.cores * per_core * USED_SURVIVABLE_RUNS
    }
}

/// The classes that have reached their limit of requests in progress.
pub(super) struct SaturatedClasses<'a> {
    requests: &'a RequestTotals,
    /// Largest number of requests in progress, by class index.
    limits: &'a BTreeMap<usize, usize>,
}

impl SaturatedClasses<'_> {
    /// Creates the set of classes that have reached their limit in `limits`, which is by class index.
    pub(super) fn new<'a>(
        requests: &'a RequestTotals,
        limits: &'a BTreeMap<usize, usize>,
    ) -> SaturatedClasses<'a> {
        SaturatedClasses { requests, limits }
    }

    /// Returns whether the class has reached its limit, so that no further request of it may start.
    pub(super) fn contains(&self, class: usize) -> bool {
        self.limits.get(&class).is_some_and(|limit| self.requests.class(class).in_progress >= *limit)
    }

    /// Returns the number of queued requests of the saturated classes.
    pub(super) fn queued(&self) -> usize {
        let saturated = self.limits.keys().filter(|class| self.contains(**class));
        saturated.map(|class| self.requests.class(*class).queued).sum()
    }
}
