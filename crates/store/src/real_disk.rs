//! [`RealDisk`]: a directory of the file system.

use crate::disk::{Disk, DiskFile};
use crate::error::StoreError;
use rustix::fs::{FlockOperation, flock};
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Name of the file that is locked while a store is open.
const LOCK_FILE: &str = "LOCK";

/// A directory of the file system.
#[derive(Debug)]
pub struct RealDisk {
    path: PathBuf,
    directory: File,
    /// The lock file, held open while this process has the directory locked.
    lock_file: Mutex<Option<File>>,
}

impl RealDisk {
    /// Opens the directory at `path`, and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns [`StoreError::Io`] or [`StoreError::NoSpace`] if the directory can't be created or opened.
    pub fn new(path: &Path) -> Result<RealDisk, StoreError> {
        let name = path.display().to_string();
        std::fs::create_dir_all(path).map_err(StoreError::io("creating directory", &name))?;
        let directory = File::open(path).map_err(StoreError::io("opening directory", &name))?;
        Ok(RealDisk { path: path.to_owned(), directory, lock_file: Mutex::new(None) })
    }

    fn path_of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn lock_file(&self) -> MutexGuard<'_, Option<File>> {
        self.lock_file.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk for RealDisk {
    fn name(&self) -> String {
        self.path.display().to_string()
    }

    fn lock(&self) -> Result<(), StoreError> {
        let path = self.path_of(LOCK_FILE);
        let name = path.display().to_string();
        let options = OpenOptions::new().create(true).truncate(false).read(true).write(true).clone();
        let mut file = options.open(&path).map_err(StoreError::io("opening", &name))?;
        if flock(&file, FlockOperation::NonBlockingLockExclusive).is_err() {
            let holder = std::fs::read_to_string(&path).unwrap_or_default();
            let holder = if holder.trim().is_empty() { "another process" } else { holder.trim() };
            return Err(StoreError::Locked { directory: self.name(), holder: holder.to_owned() });
        }
        // The text is informational. The lock itself belongs to the operating system, which releases it
        // however the process ends. So a failure to write the text, such as on a full disk, must not prevent
        // the store from being opened.
        let _ = file.set_len(0);
        let _ = write!(file, "process {}", std::process::id());
        *self.lock_file() = Some(file);
        Ok(())
    }

    fn unlock(&self) {
        *self.lock_file() = None;
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            // All of the store's file names are valid UTF-8, so other names are skipped.
            names.extend(entry?.file_name().into_string().ok().filter(|n| n != LOCK_FILE));
        }
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let options = OpenOptions::new().create(true).truncate(true).read(true).write(true).clone();
        Ok(Box::new(RealFile(options.open(self.path_of(name))?)))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(RealFile(OpenOptions::new().read(true).write(true).open(self.path_of(name))?)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path_of(from), self.path_of(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path_of(name))
    }

    fn sync_dir(&self) -> io::Result<()> {
        self.directory.sync_all()
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
        // `sync_data` also syncs the file length, which is needed to read the data back.
        self.0.sync_data()
    }
}
