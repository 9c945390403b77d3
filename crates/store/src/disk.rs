//! The interface to files. Everything above it does its I/O through [`Disk`], so that a test can put a faulty disk in
//! place of the real one and cut the power at each operation in turn. A disk is one directory; names have no path.

use crate::error::StoreError;
use std::io;

/// A directory of files.
pub trait Disk: Send + Sync {
    /// Returns the directory's name, for messages.
    fn name(&self) -> String;
    /// Locks the directory for this process, until [`Disk::unlock`] or until the disk is dropped.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has it locked.
    fn lock(&self) -> Result<(), StoreError>;
    /// Releases the lock.
    fn unlock(&self);
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Those of the system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates an empty file; one of that name is truncated.
    ///
    /// # Errors
    /// Those of the system.
    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Opens an existing file for reading and writing.
    ///
    /// # Errors
    /// Those of the system.
    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file, and replaces a file that has the new name. Durable only after [`Disk::sync_dir`].
    ///
    /// # Errors
    /// Those of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Durable only after [`Disk::sync_dir`].
    ///
    /// # Errors
    /// Those of the system.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// Those of the system.
    fn sync_dir(&self) -> io::Result<()>;
}

/// An open file.
pub trait DiskFile: Send {
    /// Writes some bytes from the front of `bytes` and returns how many.
    ///
    /// # Errors
    /// Those of the system.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Reads some bytes and returns how many, 0 at the end of the file.
    ///
    /// # Errors
    /// Those of the system.
    fn read_at(&self, offset: u64, bytes: &mut [u8]) -> io::Result<usize>;
    /// Returns the file's length in bytes.
    ///
    /// # Errors
    /// Those of the system.
    fn size(&self) -> io::Result<u64>;
    /// Truncates the file to that length in bytes.
    ///
    /// # Errors
    /// Those of the system.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
    /// Makes the file's content and length durable.
    ///
    /// # Errors
    /// Of the system. After one it is unknown what is durable of all that was written since the last success.
    fn sync(&mut self) -> io::Result<()>;
}

/// Writes all bytes, in as many writes as it takes.
pub(crate) fn write_all(file: &mut dyn DiskFile, mut offset: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => {
                offset += written as u64;
                bytes = &bytes[written..];
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads until `bytes` is full or the file ends, and returns the number of bytes read.
pub(crate) fn read_up_to(file: &dyn DiskFile, offset: u64, bytes: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < bytes.len() {
        match file.read_at(offset + filled as u64, &mut bytes[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(filled)
}

/// Reads a whole file.
pub(crate) fn read_file(disk: &dyn Disk, name: &str) -> Result<Vec<u8>, StoreError> {
    let file = disk.open(name).map_err(StoreError::io("opening", name))?;
    let size = file.size().map_err(StoreError::io("reading", name))?;
    let mut bytes = vec![0; usize::try_from(size).unwrap_or(usize::MAX)];
    let filled = read_up_to(&*file, 0, &mut bytes).map_err(StoreError::io("reading", name))?;
    bytes.truncate(filled);
    Ok(bytes)
}
