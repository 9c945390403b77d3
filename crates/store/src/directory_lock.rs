//! [`DirectoryLock`]: the lock that an open log holds on its directory.

use crate::disk::Disk;
use crate::error::StoreError;
use std::sync::Arc;

/// The lock on a directory, released on drop.
pub(crate) struct DirectoryLock(Arc<dyn Disk>);

impl DirectoryLock {
    /// Locks the directory.
    ///
    /// # Errors
    /// Returns [`StoreError::Locked`] if another process has locked the directory, or another error if the
    /// lock file can't be opened.
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
