//! The interface to files. All I/O of this crate goes through [`Disk`], so that a test can replace the real
//! disk by a faulty one and simulate a power failure at each operation in turn. A disk is a single directory;
//! file names have no path.

use crate::error::StoreError;
use std::io;

/// A directory of files.
pub trait Disk: Send + Sync {
    /// Returns the name of the directory for use in messages.
    fn name(&self) -> String;
    /// Locks the directory for this process, until [`Disk::unlock`] or until the disk is dropped.
    ///
    /// # Errors
    /// Returns [`StoreError::Locked`] if another process has locked the directory, or another error if the
    /// lock file can't be opened.
    fn lock(&self) -> Result<(), StoreError>;
    /// Releases the lock.
    fn unlock(&self);
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates an empty file, or truncates an existing file of that name.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Opens an existing file for reading and writing.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file, replacing any file with the new name. The change is durable only after
    /// [`Disk::sync_dir`].
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. The change is durable only after [`Disk::sync_dir`].
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes all file creations, renames and removals durable.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn sync_dir(&self) -> io::Result<()>;
}

/// An open file.
pub trait DiskFile: Send {
    /// Writes a prefix of `bytes` at `offset` and returns the number of bytes written.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Reads bytes at `offset` and returns the number of bytes read, which is 0 at the end of the file.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn read_at(&self, offset: u64, bytes: &mut [u8]) -> io::Result<usize>;
    /// Returns the file's length in bytes.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn size(&self) -> io::Result<u64>;
    /// Truncates the file to `len` bytes.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
    /// Makes the file's content and length durable.
    ///
    /// # Errors
    /// Returns the error of the operating system. After an error it is unknown which of the bytes written
    /// since the last successful sync are durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Writes all bytes, with as many writes as needed.
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
