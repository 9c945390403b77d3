//! The usage of one machine by all its worker pools.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Usage of a machine by one worker pool, or by all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolUsage {
    /// Number of runs on the cores.
    pub running: usize,
    /// Number of runs in memory: those on the cores and those that wait for a call or are paused.
    pub in_memory: usize,
}

/// One worker pool's handle on the usage of a machine.
#[derive(Clone)]
pub(crate) struct Occupancy {
    pools: Arc<Mutex<Vec<PoolUsage>>>,
    index: usize,
}

impl Occupancy {
    /// Returns the handle of the first worker pool on a new machine.
    pub fn of_new_machine() -> Occupancy {
        Occupancy { pools: Arc::new(Mutex::new(vec![PoolUsage::default()])), index: 0 }
    }

    /// Returns the handle of a further worker pool on the same machine.
    pub fn for_further_pool(&self) -> Occupancy {
        let mut pools = self.lock();
        pools.push(PoolUsage::default());
        Occupancy { pools: self.pools.clone(), index: pools.len() - 1 }
    }

    /// Replaces the usage of this worker pool.
    pub fn report(&self, usage: PoolUsage) {
        self.lock()[self.index] = usage;
    }

    /// Returns the sum of the usage of all worker pools.
    pub fn total(&self) -> PoolUsage {
        let pools = self.lock();
        PoolUsage {
            running: pools.iter().map(|pool| pool.running).sum(),
            in_memory: pools.iter().map(|pool| pool.in_memory).sum(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PoolUsage>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
