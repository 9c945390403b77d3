//! What the worker pools of one machine share.

use crate::worker_pool::delays::Delays;
use crate::worker_pool::occupancy::Occupancy;
use crate::worker_pool::request_ends::RequestEnds;
use crate::worker_pool::run_log::RunLog;

/// One worker pool's handles on what it shares with the others on the machine.
#[derive(Clone)]
pub(crate) struct SharedMachine {
    /// What each of them uses.
    pub occupancy: Occupancy,
    /// The runs that were begun.
    pub run_log: RunLog,
    /// The requests that are over.
    pub request_ends: RequestEnds,
    /// When one of them stood still.
    pub delays: Delays,
}

impl SharedMachine {
    /// Returns the handles of the first worker pool of a machine.
    pub fn new() -> SharedMachine {
        SharedMachine {
            occupancy: Occupancy::of_new_machine(),
            run_log: RunLog::default(),
            request_ends: RequestEnds::default(),
            delays: Delays::default(),
        }
    }

    /// Returns the handles of a further worker pool on the machine.
    pub fn beside(&self) -> SharedMachine {
        SharedMachine { occupancy: self.occupancy.beside(), ..self.clone() }
    }
}
