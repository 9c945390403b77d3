//! Sums over the requests of the table: counts by state and by class, and memory.
//!
//! # Invariants
//! Memory is summed in integer units, so that adding and then subtracting a request leaves no rounding error.

use super::request::{Request, RequestState};
use std::collections::BTreeMap;

/// Memory units per kB; sizes down to a few bytes are whole numbers of units.
const MEMORY_UNITS_PER_KB: f64 = (1_u64 << 60) as f64;

/// Counts of requests that run or are at an upstream call, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RunCounts {
    /// Number of running requests.
    pub(super) running: usize,
    /// Number of requests whose upstream call is still to be made.
    pub(super) awaiting_call: usize,
    /// Number of requests whose upstream call is in progress, and of those whose run is in doubt: they may
    /// run at any time without a decision.
    pub(super) calling: usize,
}

/// Counts of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ClassCounts {
    /// Number of requests that wait for a run.
    pub(super) queued: usize,
    /// Number of requests that run or are at an upstream call.
    pub(super) in_progress: usize,
}

/// Sums over all requests of the table.
#[derive(Debug, Default)]
pub(super) struct RequestTotals {
    queued: usize,
    runs: RunCounts,
    /// Counts by class index, for classes with requests that are queued or in progress.
    classes: BTreeMap<usize, ClassCounts>,
    /// Memory of the requests that were not started or only reuse a result, memory units.
    queued_memory: u128,
    /// Memory that the other requests took while queued, memory units; they take a multiple of it now.
    started_memory: u128,
}

impl RequestTotals {
    /// Adds a request to the sums.
    pub(super) fn add(&mut self, request: &Request) {
        if let Some(count) = self.count_of(request.state) {
            *count += 1;
        }
        *self.memory_of(request.state) += memory_units(request);
        if request.is_queued() || request.is_in_progress() {
            let class = self.classes.entry(request.class).or_default();
            class.queued += usize::from(request.is_queued());
            class.in_progress += usize::from(request.is_in_progress());
        }
    }

    /// Subtracts a request, which has to be unchanged since it was added.
    pub(super) fn subtract(&mut self, request: &Request) {
        if let Some(count) = self.count_of(request.state) {
            *count -= 1;
        }
        *self.memory_of(request.state) -= memory_units(request);
        if let Some(class) = self.classes.get_mut(&request.class) {
            class.queued -= usize::from(request.is_queued());
            class.in_progress -= usize::from(request.is_in_progress());
            if *class == ClassCounts::default() {
                self.classes.remove(&request.class);
            }
        }
    }

    /// Returns the number of queued requests.
    pub(super) fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the counts of requests that run or are at an upstream call.
    pub(super) fn runs(&self) -> RunCounts {
        self.runs
    }

    /// Returns the counts of a class.
    pub(super) fn class(&self, class: usize) -> ClassCounts {
        self.classes.get(&class).copied().unwrap_or_default()
    }

    /// Returns the memory of the requests that were not started or only reuse another's result, kB.
    pub(super) fn queued_kb(&self) -> f64 {
        self.queued_memory as f64 / MEMORY_UNITS_PER_KB
    }

    /// Returns the memory that the started requests took while they were queued, kB.
    pub(super) fn started_kb(&self) -> f64 {
        self.started_memory as f64 / MEMORY_UNITS_PER_KB
    }

    fn count_of(&mut self, state: RequestState) -> Option<&mut usize> {
        match state {
            RequestState::Queued => Some(&mut self.queued),
            RequestState::Running => Some(&mut self.runs.running),
            RequestState::AwaitingCall(_) => Some(&mut self.runs.awaiting_call),
            RequestState::Calling | RequestState::InDoubt => Some(&mut self.runs.calling),
            RequestState::Suspended | RequestState::Reusing => None,
        }
    }

    fn memory_of(&mut self, state: RequestState) -> &mut u128 {
        match state {
            RequestState::Queued | RequestState::Reusing => &mut self.queued_memory,
            _ => &mut self.started_memory,
        }
    }
}

fn memory_units(request: &Request) -> u128 {
    (request.request_kb * MEMORY_UNITS_PER_KB) as u128
}
