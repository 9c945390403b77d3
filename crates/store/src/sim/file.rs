//! [`SimFile`]: an open file of a simulated disk.

use super::names::InodeIndex;
use super::state::SharedState;
use crate::disk::DiskFile;
use std::io;

/// Probability that a failed sync still makes a part of the pending changes durable.
const PERSISTED_SHARE_OF_FAILED_SYNC: f64 = 0.5;

/// An open file of a simulated disk.
pub(super) struct SimFile {
    state: SharedState,
    inode: InodeIndex,
}

impl SimFile {
    pub fn new(state: SharedState, inode: InodeIndex) -> SimFile {
        SimFile { state, inode }
    }
}

impl DiskFile for SimFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state.lock();
        state.begin_operation()?;
        let offset = offset as usize;
        let mut len = state.transfer_length(bytes.len());
        if let Some(capacity) = state.faults.capacity_bytes {
            let file_len = state.inodes[self.inode].visible().len();
            let free = capacity.saturating_sub(state.used_bytes()) as usize;
            let room = free + file_len.saturating_sub(offset);
            if room == 0 && !bytes.is_empty() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            len = len.min(room);
        }
        state.inodes[self.inode].write(offset, &bytes[..len]);
        Ok(len)
    }

    fn read_at(&self, offset: u64, bytes: &mut [u8]) -> io::Result<usize> {
        let mut state = self.state.lock();
        state.begin_operation()?;
        let wanted = state.transfer_length(bytes.len());
        let rest = state.inodes[self.inode].visible().get(offset as usize..).unwrap_or_default();
        let len = wanted.min(rest.len());
        bytes[..len].copy_from_slice(&rest[..len]);
        Ok(len)
    }

    fn size(&self) -> io::Result<u64> {
        Ok(self.state.lock().inodes[self.inode].visible().len() as u64)
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        let mut state = self.state.lock();
        state.begin_operation()?;
        if state.faults.failing_truncates {
            return Err(io::Error::other("input/output error"));
        }
        state.inodes[self.inode].truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut guard = self.state.lock();
        guard.begin_operation()?;
        let fails = guard.sync_fails();
        let state = &mut *guard;
        let inode = &mut state.inodes[self.inode];
        if fails {
            // The operating system marks the pending data as clean: it stays visible, and no later sync
            // persists it.
            inode.persist_pending(PERSISTED_SHARE_OF_FAILED_SYNC, &mut state.rng);
            return Err(io::Error::other("input/output error"));
        }
        // Only pending changes are persisted, not all visible data: changes that an earlier sync failed to
        // persist stay lost.
        inode.persist_pending(1.0, &mut state.rng);
        Ok(())
    }
}
