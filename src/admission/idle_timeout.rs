//! The idle timeout of client connections.
//!
//! Where each client comes seldom, idle connections fill the connection table and cost time on the cores:
//! they are closed soon. Where clients come often, connections stay as long as the clients keep them. While
//! new connections compete with runs for the cores, idle ones are kept for longer, and the timeout falls
//! again only once cores idle.

use super::overload_level::SATURATED_UTILIZATION;
use super::settings::{MIN_IDLE_TIMEOUT_MS, Settings};

/// Uses of a connection within the clients' own idle timeout from which it is kept for that long.
const USES_TO_KEEP: f64 = 1.0;
/// Competing work for each core from which connections are kept as long as the clients keep them.
const COMPETING_WORK_TO_KEEP: f64 = 1.0;
/// Largest change of the timeout with each timer, as a factor.
const MAX_STEP_FACTOR: f64 = 1.25;

/// What the timeout follows.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLoad {
    /// Utilization of the cores.
    pub(super) busy: f64,
    /// Average run queue beyond runs and the usual other work.
    pub(super) competing_work: f64,
    /// Rate of arrivals, per ms.
    pub(super) arrivals_per_ms: f64,
}

/// The idle timeout in force.
pub(super) struct IdleTimeout {
    cores: f64,
    client_count: f64,
    client_timeout_ms: f64,
    timeout_ms: f64,
}

impl IdleTimeout {
    /// Returns the clients' own timeout, which is in force until the first change.
    pub(super) fn new(settings: &Settings) -> IdleTimeout {
        IdleTimeout {
            cores: settings.cores,
            client_count: settings.client_count,
            client_timeout_ms: settings.client_idle_timeout_ms,
            timeout_ms: settings.client_idle_timeout_ms,
        }
    }

    /// Takes the load of a timer and returns the new timeout in ms if it changed.
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
        let competing = (load.competing_work / self.cores / COMPETING_WORK_TO_KEEP).min(1.0);
        let range = self.client_timeout_ms / MIN_IDLE_TIMEOUT_MS;
        let target_ms = (MIN_IDLE_TIMEOUT_MS * range.powf(competing)).round();
        if target_ms > self.timeout_ms {
            target_ms.min(self.timeout_ms * MAX_STEP_FACTOR)
        } else if load.busy < SATURATED_UTILIZATION {
            target_ms.max(self.timeout_ms / MAX_STEP_FACTOR)
        } else {
            self.timeout_ms
        }
    }
}
