//! What the worker pools on one machine use of it together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What one worker pool uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolUsage {
    /// Runs on the cores.
    pub running: usize,
    /// Runs in memory: those on the cores, and those that wait for a call or are paused.
    pub held: usize,
}

/// One worker pool's part in the usage of a machine.
#[derive(Clone)]
pub(crate) struct Occupancy {
    pools: Arc<Mutex<Vec<PoolUsage>>>,
    index: usize,
}

impl Occupancy {
    /// Returns the part of the first worker pool of a machine.
    pub fn of_new_machine() -> Occupancy {
        Occupancy { pools: Arc::new(Mutex::new(vec![PoolUsage::default()])), index: 0 }
    }

    /// Returns the part of a further worker pool on the same machine.
    pub fn beside(&self) -> Occupancy {
        let mut pools = self.lock();
        pools.push(PoolUsage::default());
        Occupancy { pools: self.pools.clone(), index: pools.len() - 1 }
    }

    /// Replaces what this worker pool uses.
    pub fn report(&self, usage: PoolUsage) {
        self.lock()[self.index] = usage;
    }

    /// Returns what all worker pools use.
    pub fn total(&self) -> PoolUsage {
        let pools = self.lock();
        PoolUsage {
            running: pools.iter().map(|pool| pool.running).sum(),
            held: pools.iter().map(|pool| pool.held).sum(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PoolUsage>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
