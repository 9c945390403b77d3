//! State shared by the worker pools of one machine.

use crate::worker_pool::delays::Delays;
use crate::worker_pool::occupancy::Occupancy;
use crate::worker_pool::request_ends::RequestEnds;
use crate::worker_pool::run_log::RunLog;

/// One worker pool's handles on the state that it shares with the other worker pools of the machine.
#[derive(Clone)]
pub(crate) struct SharedMachine {
    /// Usage of the machine by each worker pool.
    pub occupancy: Occupancy,
    /// Log of the started runs.
    pub run_log: RunLog,
    /// Requests that have ended for their clients.
    pub request_ends: RequestEnds,
    /// Times at which a worker pool was stalled.
    pub delays: Delays,
}

impl SharedMachine {
    /// Returns the handles of the first worker pool on a new machine.
    pub fn new() -> SharedMachine {
        SharedMachine {
            occupancy: Occupancy::of_new_machine(),
            run_log: RunLog::default(),
            request_ends: RequestEnds::default(),
            delays: Delays::default(),
        }
    }

    /// Returns the handles of a further worker pool on the machine.
    pub fn for_further_pool(&self) -> SharedMachine {
        SharedMachine { occupancy: self.occupancy.for_further_pool(), ..self.clone() }
    }
}
