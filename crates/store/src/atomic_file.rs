//! Files that are whole after any crash, or not there.

use crate::disk::{Disk, DiskFile, write_all};
use crate::error::StoreError;

/// Writes a file under a temporary name, makes it durable, and then renames it, durably.
///
/// # Invariants
/// After a crash at any point the file is there with all of `parts`, or as it was before.
///
/// # Errors
/// Of the disk. After any but [`StoreError::NoSpace`] it is unknown whether the file is there.
pub fn write_file_atomically(
    disk: &dyn Disk,
    name: &str,
    parts: &[&[u8]],
) -> Result<Box<dyn DiskFile>, StoreError> {
    let temporary = format!("{name}.tmp");
    let written = write_and_rename(disk, &temporary, name, parts);
    let file = written.inspect_err(|_| drop(disk.remove(&temporary)))?;
    let sync_error = |source| StoreError::Io { operation: "syncing directory", file: disk.name(), source };
    disk.sync_dir().map_err(sync_error)?;
    Ok(file)
}

fn write_and_rename(
    disk: &dyn Disk,
    temporary: &str,
    name: &str,
    parts: &[&[u8]],
) -> Result<Box<dyn DiskFile>, StoreError> {
    let mut file = disk.create(temporary).map_err(StoreError::io("making", temporary))?;
    let mut offset = 0;
    for part in parts {
        write_all(&mut *file, offset, part).map_err(StoreError::io("writing", temporary))?;
        offset += part.len() as u64;
    }
    // Not `StoreError::io`: after a failed sync, also for want of space, it is unknown what is on the disk.
    let sync_error = |source| StoreError::Io { operation: "syncing", file: temporary.to_owned(), source };
    file.sync().map_err(sync_error)?;
    disk.rename(temporary, name).map_err(StoreError::io("renaming", temporary))?;
    Ok(file)
}
