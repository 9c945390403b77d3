//! The memory budget for requests and reserved keys.

use super::request::Request;
use super::request_totals::RequestTotals;
use super::settings::Settings;

/// Part of a configured capacity that is used; the rest is a margin for unaccounted use.
pub(super) const USED_CAPACITY: f64 = 0.9;

/// The memory budget of an instance.
pub(super) struct MemoryBudget {
    /// Memory that may be used, kB.
    limit_kb: f64,
    /// Memory of a running request as a multiple of that of a queued one.
    run_factor: f64,
    /// Memory of one reserved key, kB.
    key_kb: f64,
}

impl MemoryBudget {
    /// Creates the budget from the settings.
    pub(super) fn new(settings: &Settings) -> MemoryBudget {
        MemoryBudget {
            limit_kb: settings.memory_kb * USED_CAPACITY,
            run_factor: settings.run_memory_factor,
            key_kb: settings.key_memory_kb,
        }
    }

    /// Returns the memory of one reserved key, kB.
    pub(super) fn key_kb(&self) -> f64 {
        self.key_kb
    }

    /// Returns the memory that a request takes while it runs, kB.
    pub(super) fn run_kb(&self, request: &Request) -> f64 {
        request.request_kb * self.run_factor
    }

    /// Returns the additional memory that a queued request of size `request_kb` takes when it starts, kB.
    pub(super) fn start_kb(&self, request_kb: f64) -> f64 {
        request_kb * (self.run_factor - 1.0)
    }

    /// Returns the free memory, kB; negative if more than the limit is used.
    pub(super) fn free_kb(&self, requests: &RequestTotals, reserved_keys: usize) -> f64 {
        self.limit_kb - self.used_kb(requests, reserved_keys)
    }

    fn used_kb(&self, requests: &RequestTotals, reserved_keys: usize) -> f64 {
        let requests_kb = requests.queued_kb() + requests.started_kb() * self.run_factor;
        requests_kb + reserved_keys as f64 * self.key_kb
    }
}
