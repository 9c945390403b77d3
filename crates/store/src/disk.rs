//! The one way to files. Everything above it does its I/O through [`Disk`], so that a test can put a faulty disk in
//! place of the real one and cut the power at each operation in turn. A disk is one directory; names have no path.

use crate::error::StoreError;
use rustix::fs::{FlockOperation, flock};
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

/// The file that is locked while a store is open.
const LOCK: &str = "LOCK";

/// A directory of files.
pub trait Disk: Send + Sync {
    /// The directory, for messages.
    fn name(&self) -> String;
    /// Takes the directory for this process, until the disk is dropped.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has it.
    fn lock(&self) -> Result<(), StoreError>;
    /// Gives the directory free again.
    fn unlock(&self);
    /// The names of all files.
    ///
    /// # Errors
    /// Of the system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Makes a new, empty file; one of that name is emptied.
    ///
    /// # Errors
    /// Of the system.
    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Opens a file that is there for reading and writing.
    ///
    /// # Errors
    /// Of the system.
    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Gives a file another name, in place of a file that has it. Durable only after [`Disk::sync_dir`].
    ///
    /// # Errors
    /// Of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Durable only after [`Disk::sync_dir`].
    ///
    /// # Errors
    /// Of the system.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes names durable.
    ///
    /// # Errors
    /// Of the system.
    fn sync_dir(&self) -> io::Result<()>;
}

/// An open file.
pub trait DiskFile: Send {
    /// Writes some bytes from the front of `bytes`; how many.
    ///
    /// # Errors
    /// Of the system.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Reads some bytes; 0 at the end.
    ///
    /// # Errors
    /// Of the system.
    fn read_at(&self, offset: u64, bytes: &mut [u8]) -> io::Result<usize>;
    /// The length.
    ///
    /// # Errors
    /// Of the system.
    fn size(&self) -> io::Result<u64>;
    /// Cuts the file to that length.
    ///
    /// # Errors
    /// Of the system.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
    /// Makes content and length durable.
    ///
    /// # Errors
    /// Of the system. After one, nothing is known of what was written since the last success.
    fn sync(&mut self) -> io::Result<()>;
}

/// Writes all bytes, however short the single writes.
pub(crate) fn write_all(file: &mut dyn DiskFile, mut offset: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => {
                offset += n as u64;
                bytes = &bytes[n..];
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads until `bytes` is full or the file ends; how many bytes there were.
pub(crate) fn read_up_to(file: &dyn DiskFile, offset: u64, bytes: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < bytes.len() {
        match file.read_at(offset + got as u64, &mut bytes[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

/// A directory of the system.
#[derive(Debug)]
pub struct RealDisk {
    path: PathBuf,
    directory: File,
    lock: Mutex<Option<File>>,
}

impl RealDisk {
    /// The directory at `path`, made if it is not there.
    ///
    /// # Errors
    /// If it can't be made or opened.
    pub fn new(path: &Path) -> Result<RealDisk, StoreError> {
        let name = path.display().to_string();
        std::fs::create_dir_all(path).map_err(StoreError::io("making directory", &name))?;
        let directory = File::open(path).map_err(StoreError::io("opening directory", &name))?;
        Ok(RealDisk { path: path.to_owned(), directory, lock: Mutex::new(None) })
    }

    fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Disk for RealDisk {
    fn name(&self) -> String {
        self.path.display().to_string()
    }

    fn lock(&self) -> Result<(), StoreError> {
        let path = self.file(LOCK);
        let name = path.display().to_string();
        let options = OpenOptions::new().create(true).truncate(false).read(true).write(true).clone();
        let mut file = options.open(&path).map_err(StoreError::io("opening", &name))?;
        if flock(&file, FlockOperation::NonBlockingLockExclusive).is_err() {
            let holder = std::fs::read_to_string(&path).unwrap_or_default();
            let holder = if holder.trim().is_empty() { "another process" } else { holder.trim() };
            return Err(StoreError::Locked { directory: self.name(), holder: holder.to_owned() });
        }
        // The text only helps a person; the lock is the system's and ends with the process, however that ends. A
        // full disk is no reason not to lock.
        let _ = file.set_len(0);
        let _ = write!(file, "process {}", std::process::id());
        *self.held() = Some(file);
        Ok(())
    }

    fn unlock(&self) {
        *self.held() = None;
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            // A name that is no text is none of the store's.
            names.extend(entry?.file_name().into_string().ok().filter(|n| n != LOCK));
        }
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let options = OpenOptions::new().create(true).truncate(true).read(true).write(true).clone();
        Ok(Box::new(RealFile(options.open(self.file(name))?)))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(RealFile(OpenOptions::new().read(true).write(true).open(self.file(name))?)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.file(from), self.file(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.file(name))
    }

    fn sync_dir(&self) -> io::Result<()> {
        self.directory.sync_all()
    }
}

impl RealDisk {
    fn held(&self) -> std::sync::MutexGuard<'_, Option<File>> {
        self.lock.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

struct RealFile(File);

impl DiskFile for RealFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        FileExt::write_at(&self.0, bytes, offset)
    }

    fn read_at(&self, offset: u64, bytes: &mut [u8]) -> io::Result<usize> {
        FileExt::read_at(&self.0, bytes, offset)
    }

    fn size(&self) -> io::Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync(&mut self) -> io::Result<()> {
        // The length counts as content: without it the bytes can't be read back.
        self.0.sync_data()
    }
}
