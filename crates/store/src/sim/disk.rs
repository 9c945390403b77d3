//! [`SimDisk`]: the simulated disk.

use super::faults::Faults;
use super::file::SimFile;
use super::inode::Inode;
use super::state::SharedState;
use crate::disk::{Disk, DiskFile};
use crate::error::StoreError;
use std::io;

/// Name of the disk in messages.
const DISK_NAME: &str = "simulated disk";

/// A simulated disk. Clones share the same state.
#[derive(Clone)]
pub struct SimDisk(SharedState);

impl SimDisk {
    /// Returns an empty disk without faults. All its randomness comes from `seed`.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk(SharedState::new(seed))
    }

    /// Sets the faults from now on, and resets the counts of operations and syncs to 0.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.0.lock();
        state.faults = faults;
        state.operations = 0;
        state.syncs = 0;
    }

    /// Returns the number of operations since the faults were set.
    pub fn operations(&self) -> u64 {
        self.0.lock().operations
    }

    /// Returns the number of syncs since the faults were set.
    pub fn syncs(&self) -> u64 {
        self.0.lock().syncs
    }

    /// Returns whether the power is off.
    pub fn is_powered_off(&self) -> bool {
        self.0.lock().powered_off
    }

    /// Restarts the process while the machine stays up: no data is lost, synced or not. Clears the faults.
    pub fn restart_process(&self) {
        self.0.lock().restart_process();
    }

    /// Turns the power off and on again: some of the unsynced changes survive and some are lost. Clears the
    /// faults.
    pub fn power_cycle(&self) {
        self.0.lock().power_cycle();
    }

    /// Returns the current content of a file as processes see it.
    pub fn file_bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.0.lock();
        let inode = state.names.visible().get(name)?;
        Some(state.inodes[*inode].visible().to_vec())
    }

    /// Creates or replaces a file and makes the change durable.
    pub fn insert_durable(&self, name: &str, bytes: &[u8]) {
        let mut state = self.0.lock();
        let inode = state.add_inode(Inode::durable(bytes));
        state.names.link_durable(name, inode);
    }

    /// Removes a file and makes the removal durable.
    pub fn remove_durable(&self, name: &str) {
        self.0.lock().names.remove_durable(name);
    }
}

impl Disk for SimDisk {
    fn name(&self) -> String {
        DISK_NAME.to_owned()
    }

    fn lock(&self) -> Result<(), StoreError> {
        let mut state = self.0.lock();
        if state.locked {
            let (directory, holder) = (DISK_NAME.to_owned(), "another process".to_owned());
            return Err(StoreError::Locked { directory, holder });
        }
        state.locked = true;
        Ok(())
    }

    fn unlock(&self) {
        self.0.lock().locked = false;
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        Ok(state.names.visible().keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        let inode = state.add_inode(Inode::default());
        state.names.link(name, inode);
        Ok(Box::new(SimFile::new(self.0.clone(), inode)))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        let inode = *state.names.visible().get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(SimFile::new(self.0.clone(), inode)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        state.names.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        state.names.remove(name)
    }

    fn sync_dir(&self) -> io::Result<()> {
        let mut state = self.0.lock();
        state.begin_operation()?;
        if state.sync_fails() {
            return Err(io::Error::other("input/output error"));
        }
        state.names.sync();
        Ok(())
    }
}
