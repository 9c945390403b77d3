//! The idle timeout of client connections.
//!
//! Where each client sends requests rarely, idle connections fill the connection table and cost CPU time, so
//! that they are closed early. Where clients send requests often, connections are kept as long as the clients
//! keep them. While new connections compete with runs for the cores, idle connections are kept longer; the
//! timeout is lowered again only once cores are idle.

use super::overload_level::SATURATED_UTILIZATION;
use super::settings::{MIN_IDLE_TIMEOUT_MS, Settings};

/// Requests of a client within the clients' own idle timeout from which connections are kept for that long.
const USES_TO_KEEP: f64 = 1.0;
/// Competing work per core from which connections are kept as long as the clients keep them.
const COMPETING_WORK_TO_KEEP: f64 = 1.0;
/// Largest factor by which the timeout changes with each timer.
const MAX_STEP_FACTOR: f64 = 1.25;

/// The quantities that the idle timeout depends on.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLoad {
    /// Utilization of the cores.
    pub(super) busy: f64,
    /// Average run queue beyond the running requests and the usual other work.
    pub(super) competing_work: f64,
    /// Rate of arrivals, per ms.
    pub(super) arrivals_per_ms: f64,
}

/// The current idle timeout.
pub(super) struct IdleTimeout {
    cores: f64,
    client_count: f64,
    client_timeout_ms: f64,
    timeout_ms: f64,
}

impl IdleTimeout {
    /// Creates the state with the clients' own idle timeout, which applies until the first change.
    pub(super) fn new(settings: &Settings) -> IdleTimeout {
        IdleTimeout {
            cores: settings.cores,
            client_count: settings.client_count,
            client_timeout_ms: settings.client_idle_timeout_ms,
            timeout_ms: settings.client_idle_timeout_ms,
        }
    }

    /// Updates the timeout with the load at a timer and returns it, ms, if it changed.
    pub(super) fn update(&mut self, load: ConnectionLoad) -> Option<f64> {
        let timeout_ms = self.next_timeout_ms(load);
        if timeout_ms == self.timeout_ms {
            return None;
        }
        self.timeout_ms = timeout_ms;
        Some(timeout_ms)
    }

    fn next_timeout_ms(&self, load: ConnectionLoad) -> f64 {
        let uses = load.arrivals_per_ms * self.client_timeout_ms / self.client_count;
        if uses >= USES_TO_KEEP {
            return self.client_timeout_ms;
        }
        let competing_ratio = (load.competing_work / self.cores / COMPETING_WORK_TO_KEEP).min(1.0);
        let range = self.client_timeout_ms / MIN_IDLE_TIMEOUT_MS;
        let target_ms = (MIN_IDLE_TIMEOUT_MS * range.powf(competing_ratio)).round();
        if target_ms > self.timeout_ms {
            target_ms.min(self.timeout_ms * MAX_STEP_FACTOR)
        } else if load.busy < SATURATED_UTILIZATION {
            target_ms.max(self.timeout_ms / MAX_STEP_FACTOR)
        } else {
            self.timeout_ms
        }
    }
}
