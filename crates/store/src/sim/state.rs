//! The state of a simulated disk.

use super::faults::Faults;
use super::inode::Inode;
use super::names::{InodeIndex, Names};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Probability that a transfer is short if [`Faults::short_transfers`] is set.
const SHORT_TRANSFER_PROBABILITY: f64 = 0.3;
/// Shares of pending changes that a power cycle persists, one of which is chosen at random. They include the
/// cases that nothing or everything was already written.
const PERSISTED_SHARES: [f64; 5] = [0.0, 0.5, 0.5, 0.9, 1.0];

/// The state of a simulated disk.
pub(super) struct State {
    pub inodes: Vec<Inode>,
    pub names: Names,
    pub faults: Faults,
    pub rng: ChaCha8Rng,
    /// Number of operations since the faults were set.
    pub operations: u64,
    /// Number of syncs since the faults were set.
    pub syncs: u64,
    pub powered_off: bool,
    pub locked: bool,
}

/// The state shared by a disk and its open files.
#[derive(Clone)]
pub(super) struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    /// Returns the state of an empty disk without faults.
    pub fn new(seed: u64) -> SharedState {
        SharedState(Arc::new(Mutex::new(State {
            inodes: Vec::new(),
            names: Names::default(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            operations: 0,
            syncs: 0,
            powered_off: false,
            locked: false,
        })))
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts an operation.
    ///
    /// # Errors
    /// Returns an error if the power is off.
    pub fn begin_operation(&mut self) -> io::Result<()> {
        self.powered_off |= self.faults.crash_at == Some(self.operations);
        self.operations += 1;
        if self.powered_off { Err(io::Error::other("the power was cut")) } else { Ok(()) }
    }

    /// Counts a sync, and returns whether it fails.
    pub fn sync_fails(&mut self) -> bool {
        self.syncs += 1;
        self.faults.failing_syncs.contains(&(self.syncs - 1))
    }

    /// Adds a file's content, and returns its index.
    pub fn add_inode(&mut self, inode: Inode) -> InodeIndex {
        self.inodes.push(inode);
        self.inodes.len() - 1
    }

    /// Returns the total size of all files, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.names.visible().values().map(|inode| self.inodes[*inode].visible().len() as u64).sum()
    }

    /// Returns the number of bytes that a transfer of `len` bytes actually moves.
    pub fn transfer_length(&mut self, len: usize) -> usize {
        let may_be_short = self.faults.short_transfers && len > 1;
        if may_be_short && self.rng.random_bool(SHORT_TRANSFER_PROBABILITY) {
            self.rng.random_range(1..len)
        } else {
            len
        }
    }

    /// Ends all processes that use the disk, and clears the faults.
    pub fn restart_process(&mut self) {
        self.faults = Faults::default();
        self.powered_off = false;
        self.locked = false;
    }

    /// Loses some of the unsynced changes, and restarts the process.
    pub fn power_cycle(&mut self) {
        let persisted_share = PERSISTED_SHARES[self.rng.random_range(0..PERSISTED_SHARES.len())];
        self.names.power_cycle(persisted_share, &mut self.rng);
        for inode in &mut self.inodes {
            inode.persist_pending(persisted_share, &mut self.rng);
            inode.reload();
        }
        self.restart_process();
    }
}
