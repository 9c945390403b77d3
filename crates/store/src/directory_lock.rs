//! The lock on a store's directory while a log is open.

use crate::disk::Disk;
use crate::error::StoreError;
use std::sync::Arc;

/// The lock on a directory; released when it is dropped.
pub(crate) struct DirectoryLock(Arc<dyn Disk>);

impl DirectoryLock {
    /// Locks the directory.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has it locked.
    pub fn acquire(disk: Arc<dyn Disk>) -> Result<DirectoryLock, StoreError> {
        disk.lock()?;
        Ok(DirectoryLock(disk))
    }
}

impl Drop for DirectoryLock {
    fn drop(&mut self) {
        self.0.unlock();
    }
}
