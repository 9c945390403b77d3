//! Atomic creation of files: after any crash a file is complete or does not exist.

use crate::disk::{Disk, DiskFile, write_all};
use crate::error::StoreError;

/// Writes a file under a temporary name, makes it durable, renames it, and makes the new name durable.
///
/// # Invariants
/// After a crash at any point, the file either contains all of `parts` or is in its previous state.
///
/// # Errors
/// Returns [`StoreError::NoSpace`] if the disk is full; the file is then unchanged. Returns
/// [`StoreError::Io`] if another operation fails; it is then unknown whether the file was replaced.
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
    let mut file = disk.create(temporary).map_err(StoreError::io("creating", temporary))?;
    let mut offset = 0;
    for part in parts {
        write_all(&mut *file, offset, part).map_err(StoreError::io("writing", temporary))?;
        offset += part.len() as u64;
    }
    // Not `StoreError::io`: after any failed sync, even for lack of space, it is unknown what is on the disk.
    let sync_error = |source| StoreError::Io { operation: "syncing", file: temporary.to_owned(), source };
    file.sync().map_err(sync_error)?;
    disk.rename(temporary, name).map_err(StoreError::io("renaming", temporary))?;
    Ok(file)
}
